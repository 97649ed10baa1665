#include "core/topics/officeholder.h"

#include "core/base/membertable.h"

#include <algorithm>

namespace geraniumpaddle {

namespace {

/// Size of the term range of one generation: a term for each millisecond of 49
/// days, so that a candidate that restarts within a generation has a higher
/// term than before. Terms stay below 2^53 for 2^21 generations.
constexpr std::uint64_t TermsPerGeneration = std::uint64_t{1} << 32;

} // namespace

std::span<const office_command> office_holder::handle(const office_event &Event,
                                                      time_point Now) {
  Commands.clear();
  using table =
      member_table<&office_holder::onJoined, &office_holder::onJoinFailed,
                   &office_holder::onLeaderStatus, &office_holder::onClaimed,
                   &office_holder::onFenced, &office_holder::onClaimFailed,
                   &office_holder::onRetire, &office_holder::onTimerExpired>;
  table::dispatch(*this, Event, Now);
  return Commands;
}

std::optional<std::uint64_t> office_holder::term() const {
  return Phase == phase::InOffice ? std::optional(Term) : std::nullopt;
}

void office_holder::scheduleJoin(time_point At) {
  NextJoinAt = At;
  Commands.emplace_back(office_wake_at{At});
}

void office_holder::stepDown(time_point Now) {
  if (Phase == phase::InOffice)
    Commands.emplace_back(office_lost{});
  if (Phase == phase::Retired)
    return;
  Phase = phase::Candidate;
  scheduleJoin(Now);
}

void office_holder::onTimerExpired(const office_time_passed &,
                                   const time_point &Now) {
  if (Phase == phase::Retired || Phase == phase::InOffice || JoinPending)
    return;
  if (Now < NextJoinAt) {
    Commands.emplace_back(office_wake_at{NextJoinAt});
    return;
  }
  JoinPending = true;
  Commands.emplace_back(send_join{Generation});
}

void office_holder::onJoined(const join_answered &Event,
                             const time_point &Now) {
  JoinPending = false;
  if (Phase == phase::Retired || Phase == phase::InOffice ||
      Event.Generation < Generation)
    return;
  Generation = Event.Generation;
  Assigned = Event.Assigned;
  if (!Assigned || Event.Agents > 0)
    UnreachedSince.reset();
  else if (!UnreachedSince)
    UnreachedSince = Now;
  // Makes room for a candidate that the agents can reach.
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
  Commands.emplace_back(ask_holder{});
}

void office_holder::onJoinFailed(const join_failed &, const time_point &Now) {
  JoinPending = false;
  if (Phase != phase::Retired)
    scheduleJoin(Now + Limits.JoinInterval);
}

void office_holder::onLeaderStatus(const holder_answered &Event,
                                   const time_point &Now) {
  QueryPending = false;
  if (Phase == phase::Candidate && Assigned && mayTakeOver(Event, Now))
    claim();
}

bool office_holder::mayTakeOver(const holder_answered &Leader, time_point Now) {
  using enum holder_answered::holder_state;
  const bool Stale =
      Leader.State == InOffice && Leader.SinceStored > Limits.MaxAppendAge;
  if (!Stale)
    StaleSince.reset();
  else if (!StaleSince)
    StaleSince = Now;
  switch (Leader.State) {
  case Unknown:
  case OutOfOffice:
    return true;
  case Silent:
    // This candidate may be the one that is cut off from the network.
    return Leader.AgentsHere > 0 || Leader.OthersAnswer;
  case InOffice:
    if (StaleSince)
      return Now - *StaleSince >= Limits.RecoveryGrace;
    return Leader.SinceWon >= Limits.DiscoveryTime &&
           Leader.AgentsHere > Leader.Agents;
  }
  return false;
}

void office_holder::claim() {
  Phase = phase::Claiming;
  const std::uint64_t First = Generation * TermsPerGeneration + TermOffset +
                              Incarnation % TermsPerGeneration;
  Term = std::max(First, Term + 1);
  Commands.emplace_back(send_claim{Term});
}

void office_holder::onClaimed(const claim_stored &Event, const time_point &) {
  if (Phase != phase::Claiming || Event.Term != Term)
    return;
  Phase = phase::InOffice;
  Assigned = false;
  UnreachedSince.reset();
  Commands.emplace_back(office_won{Term, Event.TopicEnd});
  // Lets another candidate become the standby.
  Commands.emplace_back(send_leave{});
}

void office_holder::onFenced(const term_fenced &Event, const time_point &Now) {
  if (Event.Term != Term)
    return;
  // The group's generations were reset, or this machine's clock was set back.
  if (Phase == phase::Claiming)
    TermOffset += TermsPerGeneration;
  stepDown(Now);
}

void office_holder::onClaimFailed(const claim_failed &, const time_point &) {
  if (Phase == phase::Claiming)
    Phase = phase::Candidate;
}

void office_holder::onRetire(const retire &, const time_point &Now) {
  stepDown(Now);
  Phase = phase::Retired;
  Commands.emplace_back(send_leave{});
}

} // namespace geraniumpaddle
