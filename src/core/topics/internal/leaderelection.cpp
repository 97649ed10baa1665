#include "core/topics/leaderelection.h"

#include "core/base/membertable.h"

#include <algorithm>

namespace geraniumpaddle {

namespace {

/// Size of the term range of one generation: a term for each millisecond of 49
/// days, so that a candidate that restarts within a generation has a higher
/// term than before. Terms stay below 2^53 for 2^21 generations.
constexpr std::uint64_t TermsPerGeneration = std::uint64_t{1} << 32;

} // namespace

std::span<const election_command>
leader_election::handle(const election_event &Event, time_point Now) {
  Commands.clear();
  using table = member_table<
      &leader_election::onJoined, &leader_election::onJoinFailed,
      &leader_election::onLeaderStatus, &leader_election::onClaimed,
      &leader_election::onFenced, &leader_election::onClaimFailed,
      &leader_election::onStrengthCompared, &leader_election::onLeaderActive,
      &leader_election::onRetire, &leader_election::onTimerExpired>;
  table::dispatch(*this, Event, Now);
  return Commands;
}

std::optional<std::uint64_t> leader_election::term() const {
  return Phase == phase::Leading ? std::optional(Term) : std::nullopt;
}

void leader_election::scheduleJoin(time_point At) {
  NextJoinAt = At;
  Commands.emplace_back(set_election_timer{At});
}

void leader_election::stepDown(time_point Now) {
  if (Phase == phase::Leading)
    Commands.emplace_back(leadership_lost{});
  if (Phase == phase::Retired)
    return;
  Phase = phase::Candidate;
  scheduleJoin(Now);
}

void leader_election::onTimerExpired(const election_timer_expired &,
                                     const time_point &Now) {
  if (Phase == phase::Retired || Phase == phase::Leading || JoinPending)
    return;
  if (Now < NextJoinAt) {
    Commands.emplace_back(set_election_timer{NextJoinAt});
    return;
  }
  if (defersToStronger(Now)) {
    scheduleJoin(*LeaderActiveAt + Limits.WeakJoinDelay);
    return;
  }
  JoinPending = true;
  Commands.emplace_back(send_join{Generation});
}

/// At the start a leader counts as active, so that stronger candidates are
/// first.
bool leader_election::defersToStronger(time_point Now) {
  if (!LeaderActiveAt)
    LeaderActiveAt = Now;
  return Weak && Now - *LeaderActiveAt < Limits.WeakJoinDelay;
}

void leader_election::onStrengthCompared(const strength_compared &Event,
                                         const time_point &) {
  Weak = Event.Stronger >= Limits.MinStronger;
}

void leader_election::onLeaderActive(const leader_active &,
                                     const time_point &Now) {
  LeaderActiveAt = Now;
  RecordReadAt = Now;
}

void leader_election::onJoined(const join_succeeded &Event,
                               const time_point &Now) {
  JoinPending = false;
  if (Phase == phase::Retired || Phase == phase::Leading)
    return;
  // Lower than before if the group was empty or was reset in between.
  Generation = Event.Generation;
  if (Phase == phase::Candidate && defersToStronger(Now)) {
    UnreachedSince.reset();
    Assigned = false;
    Commands.emplace_back(send_leave{});
    scheduleJoin(*LeaderActiveAt + Limits.WeakJoinDelay);
    return;
  }
  Assigned = Event.Assigned;
  if (!Assigned || Event.Agents > 0)
    UnreachedSince.reset();
  else if (!UnreachedSince)
    UnreachedSince = Now;
  // Leaves the candidacy to another member, which the agents may reach.
  if (UnreachedSince && Now - *UnreachedSince >= Limits.UnreachedTimeout) {
    UnreachedSince.reset();
    Assigned = false;
    Commands.emplace_back(send_leave{});
    scheduleJoin(Now + Limits.RejoinDelay);
    return;
  }
  scheduleJoin(Now + Limits.JoinInterval);
  if (!Assigned || QueryPending || Phase != phase::Candidate)
    return;
  QueryPending = true;
  Commands.emplace_back(query_leader{});
}

void leader_election::onJoinFailed(const join_failed &, const time_point &Now) {
  JoinPending = false;
  if (Phase != phase::Retired)
    scheduleJoin(Now + Limits.JoinInterval);
}

void leader_election::onLeaderStatus(const leader_status &Event,
                                     const time_point &Now) {
  QueryPending = false;
  if (Phase == phase::Candidate && Assigned && mayTakeOver(Event, Now))
    claim(Event.Term);
}

bool leader_election::mayTakeOver(const leader_status &Leader, time_point Now) {
  using enum leader_status::leader_state;
  const bool Stale =
      Leader.State == Leading && Leader.SinceLastAppend > Limits.MaxAppendAge;
  if (!Stale)
    StaleSince.reset();
  else if (!StaleSince)
    StaleSince = Now;
  switch (Leader.State) {
  case Unknown:
  case NotLeading:
    return true;
  case NoAnswer:
    // A busy leader answers late.
    if (RecordReadAt && Now - *RecordReadAt < Limits.ActiveTime)
      return false;
    // This candidate may be the one that is cut off from the network.
    return Leader.CandidateAgents > 0 || Leader.OthersReachable;
  case Leading:
    if (StaleSince)
      return Now - *StaleSince >= Limits.RecoveryGrace;
    return Leader.SinceElected >= Limits.DiscoveryTime &&
           (Leader.Weaker || Leader.CandidateAgents > Leader.Agents);
  }
  return false;
}

void leader_election::claim(std::uint64_t LastTerm) {
  Phase = phase::Claiming;
  std::uint64_t First = Generation * TermsPerGeneration + TermOffset +
                        Incarnation % TermsPerGeneration;
  // The group's generations may start anew; the terms must not. The rest of the
  // division keeps the terms of candidates apart.
  if (First <= LastTerm)
    First += ((LastTerm - First) / TermsPerGeneration + 1) * TermsPerGeneration;
  Term = std::max(First, Term + 1);
  Commands.emplace_back(send_claim{Term});
}

void leader_election::onClaimed(const claim_stored &Event, const time_point &) {
  if (Phase != phase::Claiming || Event.Term != Term)
    return;
  Phase = phase::Leading;
  Assigned = false;
  UnreachedSince.reset();
  Commands.emplace_back(leadership_acquired{Term, Event.TopicEnd});
  // Lets another candidate become the standby.
  Commands.emplace_back(send_leave{});
}

void leader_election::onFenced(const term_fenced &Event,
                               const time_point &Now) {
  if (Event.Term != Term)
    return;
  // The group's generations were reset, or this machine's clock was set back.
  if (Phase == phase::Claiming)
    TermOffset += TermsPerGeneration;
  stepDown(Now);
}

void leader_election::onClaimFailed(const claim_failed &, const time_point &) {
  if (Phase == phase::Claiming)
    Phase = phase::Candidate;
}

void leader_election::onRetire(const retire &, const time_point &Now) {
  stepDown(Now);
  Phase = phase::Retired;
  Commands.emplace_back(send_leave{});
}

} // namespace geraniumpaddle
