#include "jobentry/electiondriver.h"

#include <array>
#include <vector>

namespace geraniumpaddle {

namespace {

/// The platform removes a member that has not called for this long from the
/// group and assigns its candidacy to another. It allows no less than 1 s; the
/// rest covers one lost call.
constexpr duration MemberTimeToLive = std::chrono::milliseconds(1100);
/// Timeout of one call to the group and of one claim.
constexpr duration CallTimeout = std::chrono::milliseconds(700);

constexpr duration LeaderLogInterval = std::chrono::seconds(1);

/// Name for logs.
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
      Limits(Limits), Election(Limits, Incarnation), ElectionTimer(Loop) {}

void election_driver::feed(const election_event &Event) {
  const auto Commands = Election.handle(Event, Loop.now());
  const std::vector<election_command> Pending(Commands.begin(), Commands.end());
  for (const election_command &Command : Pending)
    std::visit([this](const auto &Each) { execute(Each); }, Command);
}

void election_driver::execute(const send_join &Command) {
  Store.join({.Member = Member,
              .Generation = Command.Generation,
              .TimeToLive = MemberTimeToLive,
              .Timeout = CallTimeout},
             [this, Alive = Alive](const join_outcome &Outcome) {
               if (!*Alive)
                 return;
               if (Outcome.Ok)
                 feed(join_succeeded{Outcome.Generation,
                                     Outcome.AssignedProgress,
                                     Delegate.recentAgentCount()});
               else
                 feed(join_failed{});
             });
}

void election_driver::execute(const send_leave &) { Store.leave(Member); }

void election_driver::execute(const query_leader &) {
  Delegate.queryLeader([this, Alive = Alive](const leader_status &Leader) {
    if (!*Alive)
      return;
    logLeader(Leader);
    LastLeader = Leader;
    feed(Leader);
  });
}

/// Logs each change, and what a claim waits for at a bounded rate.
void election_driver::logLeader(const leader_status &Leader) {
  const time_point Now = Loop.now();
  const bool Changed = Leader.State != LastLeader.State;
  const bool AtWork = Leader.State == leader_status::leader_state::Leading &&
                      Leader.SinceLastAppend <= Limits.MaxAppendAge;
  if (!Changed && (AtWork || Now - LeaderLoggedAt < LeaderLogInterval))
    return;
  LeaderLoggedAt = Now;
  Log.event(Changed ? "leader_state_changed" : "leader_not_at_work",
            {{"holder", name(Leader.State)},
             {"term", Leader.Term},
             {"stored_ms_ago", millisecondsOf(Leader.SinceLastAppend)},
             {"elected_ms_ago", millisecondsOf(Leader.SinceElected)},
             {"agents", Leader.Agents},
             {"agents_here", Leader.CandidateAgents},
             {"others_answer", Leader.OthersReachable}});
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
  Store.append(
      {.Topic = store_topic::Progress,
       .Stamp = producer_stamp{Term, 0},
       .Timeout = CallTimeout,
       .Relayable = false},
      [this, Term, Sent, Alive = Alive](const append_outcome &Outcome) {
        if (!*Alive)
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
  ElectionTimer.startAt(Command.At, [this] { feed(election_timer_expired{}); });
}

} // namespace geraniumpaddle
