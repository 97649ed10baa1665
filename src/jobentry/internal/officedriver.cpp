#include "jobentry/officedriver.h"

#include <array>
#include <vector>

namespace geraniumpaddle {

namespace {

/// The platform has another candidate stand by when this one is silent this
/// long. It allows no less than 1 s, and one call may get lost.
constexpr duration TimeToLive = std::chrono::milliseconds(1100);
/// Limit of one call of the group and of one claim.
constexpr duration CallTimeout = std::chrono::milliseconds(700);

/// Lower-case name, for logs.
std::string_view name(holder_answered::holder_state State) {
  static constexpr std::array<std::string_view, 4> Names{
      "unknown", "silent", "out_of_office", "in_office"};
  return Names.at(static_cast<std::size_t>(State));
}

} // namespace

office_driver::office_driver(ievent_loop &Loop, istore &Store,
                             std::string Member, const office_limits &Limits,
                             std::uint64_t Incarnation,
                             ioffice_content &Content)
    : Loop(Loop), Store(Store), Member(std::move(Member)), Content(Content),
      Holder(Limits, Incarnation), Wake(Loop) {}

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
                 feed(join_answered{Outcome.Generation, Outcome.HoldsProgress,
                                    Content.agentsHeard()});
               else
                 feed(join_failed{});
             });
}

void office_driver::carryOut(const send_leave &) { Store.leave(Member); }

void office_driver::carryOut(const ask_holder &) {
  Content.askHolder([this, Life = Alive](const holder_answered &Holder) {
    if (!*Life)
      return;
    if (Holder.State != LastHolder.State)
      Log.event("holder_seen", {{"holder", name(Holder.State)}});
    LastHolder = Holder;
    feed(Holder);
  });
}

void office_driver::carryOut(const send_claim &Command) {
  const std::uint64_t Term = Command.Term;
  const time_point Sent = Loop.now();
  Log.event("office_claimed",
            {{"term", Term},
             {"holder", name(LastHolder.State)},
             {"stored_ms_ago", millisecondsOf(LastHolder.SinceStored)},
             {"agents", LastHolder.Agents},
             {"agents_here", LastHolder.AgentsHere}});
  Store.append({.Topic = store_topic::Progress,
                .Stamp = producer_stamp{Term, 0},
                .Timeout = CallTimeout,
                .Relayable = false},
               [this, Term, Sent, Life = Alive](const append_outcome &Outcome) {
                 if (!*Life)
                   return;
                 if (Outcome.Status == stored_status::Stored) {
                   confirmed(Sent);
                   feed(claim_stored{Term, Outcome.End});
                 } else if (Outcome.Status == stored_status::Fenced) {
                   feed(term_fenced{Term});
                 } else {
                   feed(claim_failed{});
                 }
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
