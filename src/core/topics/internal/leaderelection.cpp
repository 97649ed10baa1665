#include "core/topics/leaderelection.h"

#include "core/base/membertable.h"

#include <algorithm>

namespace geraniumpaddle {

namespace {

/// Terms of one generation: one for each millisecond in which a candidate may
/// have started, over 49 days, so that one that comes back in a generation has
/// a higher term than before. Terms stay below 2^53 for 2^21 generations.
constexpr std::uint64_t TermsPerGeneration = std::uint64_t{1} << 32;

} // namespace

std::span<const election_command>
leader_election::handle(const election_event &Event, time_point Now) {
  Commands.clear();
  using table =
      member_table<&leader_election::onJoined, &leader_election::onJoinFailed,
                   &leader_election::onHolderAnswered,
                   &leader_election::onClaimed, &leader_election::onFenced,
                   &leader_election::onClaimFailed, &leader_election::onRetire,
                   &leader_election::onTimePassed>;
  table::dispatch(*this, Event, Now);
  return Commands;
}

std::optional<std::uint64_t> leader_election::term() const {
  return Phase == phase::Leading ? std::optional(Term) : std::nullopt;
}

void leader_election::planJoin(time_point At) {
  NextJoin = At;
  Commands.emplace_back(set_election_timer{At});
}

void leader_election::loseOffice(time_point Now) {
  if (Phase == phase::Leading)
    Commands.emplace_back(leadership_lost{});
  if (Phase == phase::Retired)
    return;
  Phase = phase::Candidate;
  planJoin(Now);
}

void leader_election::onTimePassed(const election_timer_expired &,
                                   const time_point &Now) {
  if (Phase == phase::Retired || Phase == phase::Leading || Joining)
    return;
  if (Now < NextJoin) {
    Commands.emplace_back(set_election_timer{NextJoin});
    return;
  }
  Joining = true;
  Commands.emplace_back(send_join{Generation});
}

void leader_election::onJoined(const join_succeeded &Event,
                               const time_point &Now) {
  Joining = false;
  if (Phase == phase::Retired || Phase == phase::Leading ||
      Event.Generation < Generation)
    return;
  Generation = Event.Generation;
  Dealt = Event.Dealt;
  if (!Dealt || Event.Agents > 0)
    AloneSince.reset();
  else if (!AloneSince)
    AloneSince = Now;
  // Whoever the agents can't reach keeps the office from those they can.
  if (AloneSince && Now - *AloneSince >= Limits.AloneFor) {
    AloneSince.reset();
    Dealt = false;
    Commands.emplace_back(send_leave{});
    planJoin(Now + Limits.StandAsideFor);
    return;
  }
  planJoin(Now + Limits.JoinEvery);
  if (!Dealt || Asking || Phase != phase::Candidate)
    return;
  Asking = true;
  Commands.emplace_back(query_leader{});
}

void leader_election::onJoinFailed(const join_failed &, const time_point &Now) {
  Joining = false;
  if (Phase != phase::Retired)
    planJoin(Now + Limits.JoinEvery);
}

void leader_election::onHolderAnswered(const leader_status &Event,
                                       const time_point &Now) {
  Asking = false;
  if (Phase == phase::Candidate && Dealt && mayTakeOver(Event, Now))
    claim();
}

bool leader_election::mayTakeOver(const leader_status &Holder, time_point Now) {
  using enum leader_status::leader_state;
  const bool Unstored =
      Holder.State == Leading && Holder.SinceLastAppend > Limits.StoredWithin;
  if (!Unstored)
    UnstoredSince.reset();
  else if (!UnstoredSince)
    UnstoredSince = Now;
  switch (Holder.State) {
  case Unknown:
  case NotLeading:
    return true;
  case NoAnswer:
    // It may be this candidate that is cut off.
    return Holder.CandidateAgents > 0 || Holder.OthersReachable;
  case Leading:
    if (UnstoredSince)
      return Now - *UnstoredSince >= Limits.StoredAgain;
    return Holder.SinceElected >= Limits.FoundWithin &&
           Holder.CandidateAgents > Holder.Agents;
  }
  return false;
}

void leader_election::claim() {
  Phase = phase::Claiming;
  const std::uint64_t First = Generation * TermsPerGeneration + TermOffset +
                              Incarnation % TermsPerGeneration;
  Term = std::max(First, Term + 1);
  Commands.emplace_back(send_claim{Term});
}

void leader_election::onClaimed(const claim_stored &Event, const time_point &) {
  if (Phase != phase::Claiming || Event.Term != Term)
    return;
  Phase = phase::Leading;
  Dealt = false;
  AloneSince.reset();
  Commands.emplace_back(leadership_acquired{Term, Event.TopicEnd});
  // Another candidate is to stand by.
  Commands.emplace_back(send_leave{});
}

void leader_election::onFenced(const term_fenced &Event,
                               const time_point &Now) {
  if (Event.Term != Term)
    return;
  // The group's generations, or the clock, have begun anew.
  if (Phase == phase::Claiming)
    TermOffset += TermsPerGeneration;
  loseOffice(Now);
}

void leader_election::onClaimFailed(const claim_failed &, const time_point &) {
  if (Phase == phase::Claiming)
    Phase = phase::Candidate;
}

void leader_election::onRetire(const retire &, const time_point &Now) {
  loseOffice(Now);
  Phase = phase::Retired;
  Commands.emplace_back(send_leave{});
}

} // namespace geraniumpaddle
