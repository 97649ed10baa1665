#include "jobentry/officedriver.h"

#include <algorithm>
#include <vector>

namespace geraniumpaddle {

namespace {

/// The platform deals the office anew when its holder is silent this long. It
/// allows no less than 1 s; a call that is lost must not cost the office.
constexpr duration TimeToLive = std::chrono::milliseconds(1100);
/// Limit of one call of the group and of one claim.
constexpr duration CallTimeout = std::chrono::milliseconds(700);

} // namespace

office_driver::office_driver(ievent_loop &Loop, istore &Store,
                             std::string Member, const office_limits &Limits,
                             std::uint64_t Incarnation,
                             ioffice_content &Content)
    : Loop(Loop), Store(Store), Member(std::move(Member)), Content(Content),
      Holder(Limits, Incarnation), Wake(Loop) {}

time_point office_driver::lastAnswer() const {
  return std::max(Holder.lastAnswer(), LastAppend);
}

void office_driver::feed(const office_event &Event) {
  const auto Commands = Holder.handle(Event, Loop.now());
  const std::vector<office_command> Copy(Commands.begin(), Commands.end());
  for (const office_command &Command : Copy)
    std::visit([this](const auto &Each) { carryOut(Each); }, Command);
}

void office_driver::carryOut(const send_join &Command) {
  Store.join({.Member = Member,
              .Generation = Command.Generation,
              .TimeToLive = TimeToLive,
              .Timeout = CallTimeout},
             [this, Life = Alive](const join_outcome &Outcome) {
               if (!*Life)
                 return;
               if (Outcome.Ok)
                 feed(join_answered{Outcome.Generation, Outcome.HoldsProgress});
               else
                 feed(join_failed{});
             });
}

void office_driver::carryOut(const send_leave &) { Store.leave(Member); }

void office_driver::carryOut(const send_claim &Command) {
  const std::uint64_t Term = Command.Term;
  Store.append({.Topic = store_topic::Progress,
                .Stamp = producer_stamp{Term, 0},
                .Timeout = CallTimeout,
                .Relayable = false},
               [this, Term, Life = Alive](const append_outcome &Outcome) {
                 if (!*Life)
                   return;
                 if (Outcome.Status == stored_status::Stored)
                   feed(claim_stored{Term, Outcome.End});
                 else if (Outcome.Status == stored_status::Fenced)
                   feed(term_fenced{Term});
                 else
                   feed(claim_failed{});
               });
}

void office_driver::carryOut(const office_won &Command) {
  Log.event("office_won", {{"term", Command.Term}, {"end", Command.TopicEnd}});
  Content.onOfficeWon(Command.Term, Command.TopicEnd);
}

void office_driver::carryOut(const office_lost &) {
  Log.event("office_lost", {});
  Content.onOfficeLost();
}

void office_driver::carryOut(const office_wake_at &Command) {
  Wake.startAt(Command.At, [this] { feed(office_time_passed{}); });
}

} // namespace geraniumpaddle
