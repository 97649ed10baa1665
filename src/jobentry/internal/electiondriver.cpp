#include "jobentry/electiondriver.h"

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
std::string_view name(leader_status::leader_state State) {
  static constexpr std::array<std::string_view, 4> Names{
      "unknown", "silent", "out_of_office", "in_office"};
  return Names.at(static_cast<std::size_t>(State));
}

} // namespace

election_driver::election_driver(ievent_loop &Loop, istore &Store,
                                 std::string Member,
                                 const election_limits &Limits,
                                 std::uint64_t Incarnation,
                                 ielection_delegate &Delegate)
    : Loop(Loop), Store(Store), Member(std::move(Member)), Delegate(Delegate),
      Holder(Limits, Incarnation), Wake(Loop) {}

void election_driver::feed(const election_event &Event) {
  const auto Commands = Holder.handle(Event, Loop.now());
  const std::vector<election_command> Copy(Commands.begin(), Commands.end());
  for (const election_command &Command : Copy)
    std::visit([this](const auto &Each) { execute(Each); }, Command);
}

void election_driver::execute(const send_join &Command) {
  Store.join({.Member = Member,
              .Generation = Command.Generation,
              .TimeToLive = TimeToLive,
              .Timeout = CallTimeout},
             [this, Life = Alive](const join_outcome &Outcome) {
               if (!*Life)
                 return;
               if (Outcome.Ok)
                 feed(join_succeeded{Outcome.Generation, Outcome.HoldsProgress,
                                     Delegate.recentAgentCount()});
               else
                 feed(join_failed{});
             });
}

void election_driver::execute(const send_leave &) { Store.leave(Member); }

void election_driver::execute(const query_leader &) {
  Delegate.queryLeader([this, Life = Alive](const leader_status &Holder) {
    if (!*Life)
      return;
    if (Holder.State != LastLeader.State)
      Log.event("leader_state_changed", {{"holder", name(Holder.State)}});
    LastLeader = Holder;
    feed(Holder);
  });
}

void election_driver::execute(const send_claim &Command) {
  const std::uint64_t Term = Command.Term;
  const time_point Sent = Loop.now();
  Log.event("leadership_claimed",
            {{"term", Term},
             {"holder", name(LastLeader.State)},
             {"stored_ms_ago", millisecondsOf(LastLeader.SinceLastAppend)},
             {"agents", LastLeader.Agents},
             {"agents_here", LastLeader.CandidateAgents}});
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

void election_driver::execute(const leadership_acquired &Command) {
  Log.event("leadership_acquired",
            {{"term", Command.Term}, {"end", Command.TopicEnd}});
  Delegate.onLeadershipAcquired(Command.Term, Command.TopicEnd);
}

void election_driver::execute(const leadership_lost &) {
  Log.event("leadership_lost", {});
  Delegate.onLeadershipLost();
}

void election_driver::execute(const set_election_timer &Command) {
  Wake.startAt(Command.At, [this] { feed(election_timer_expired{}); });
}

} // namespace geraniumpaddle
