#include "jobentry/officedriver.h"

#include <array>
#include <vector>

namespace geraniumpaddle {

namespace {

/// The platform removes a silent member from the group after this time and
/// assigns its part to another. 1 s is the least that it allows; the rest
/// allows for one lost call.
constexpr duration MemberTimeToLive = std::chrono::milliseconds(1100);
/// Timeout of one call to the group and of one claim.
constexpr duration CallTimeout = std::chrono::milliseconds(700);

/// Name for logs.
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
      Election(Limits, Incarnation), WakeTimer(Loop) {}

void office_driver::feed(const office_event &Event) {
  const auto Commands = Election.handle(Event, Loop.now());
  const std::vector<office_command> Pending(Commands.begin(), Commands.end());
  for (const office_command &Command : Pending)
    std::visit([this](const auto &Each) { carryOut(Each); }, Command);
}

void office_driver::carryOut(const send_join &Command) {
  Store.join({.Member = Member,
              .Generation = Command.Generation,
              .TimeToLive = MemberTimeToLive,
              .Timeout = CallTimeout},
             [this, Life = Alive](const join_outcome &Outcome) {
               if (!*Life)
                 return;
               if (Outcome.Ok)
                 feed(join_answered{Outcome.Generation,
                                    Outcome.AssignedProgress,
                                    Content.agentsHeard()});
               else
                 feed(join_failed{});
             });
}

void office_driver::carryOut(const send_leave &) { Store.leave(Member); }

void office_driver::carryOut(const ask_holder &) {
  Content.askHolder([this, Life = Alive](const holder_answered &Leader) {
    if (!*Life)
      return;
    if (Leader.State != LastHolder.State)
      Log.event("holder_seen", {{"holder", name(Leader.State)}});
    LastHolder = Leader;
    feed(Leader);
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
                 if (Outcome.Status == store_append_status::Stored) {
                   onAppendStored(Sent);
                   feed(claim_stored{Term, Outcome.End});
                 } else if (Outcome.Status == store_append_status::Fenced) {
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
  WakeTimer.startAt(Command.At, [this] { feed(office_time_passed{}); });
}

} // namespace geraniumpaddle
