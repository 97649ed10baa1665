#include "core/topics/officeholder.h"

#include "core/base/membertable.h"

#include <algorithm>

namespace geraniumpaddle {

namespace {

/// Terms of one generation: one for each millisecond in which a candidate may
/// have started, over 49 days, so that one that comes back in a generation has
/// a higher term than before. Terms stay below 2^53 for 2^21 generations.
constexpr std::uint64_t TermsPerGeneration = std::uint64_t{1} << 32;

} // namespace

std::span<const office_command> office_holder::handle(const office_event &Event,
                                                      time_point Now) {
  Commands.clear();
  using table =
      member_table<&office_holder::onJoined, &office_holder::onJoinFailed,
                   &office_holder::onHolderAnswered, &office_holder::onClaimed,
                   &office_holder::onFenced, &office_holder::onClaimFailed,
                   &office_holder::onRetire, &office_holder::onTimePassed>;
  table::dispatch(*this, Event, Now);
  return Commands;
}

std::optional<std::uint64_t> office_holder::term() const {
  return Phase == phase::InOffice ? std::optional(Term) : std::nullopt;
}

void office_holder::planJoin(time_point At) {
  NextJoin = At;
  Commands.emplace_back(office_wake_at{At});
}

void office_holder::loseOffice(time_point Now) {
  if (Phase == phase::InOffice)
    Commands.emplace_back(office_lost{});
  if (Phase == phase::Retired)
    return;
  Phase = phase::Candidate;
  planJoin(Now);
}

void office_holder::onTimePassed(const office_time_passed &,
                                 const time_point &Now) {
  if (Phase == phase::Retired || Phase == phase::InOffice || Joining)
    return;
  if (Now < NextJoin) {
    Commands.emplace_back(office_wake_at{NextJoin});
    return;
  }
  Joining = true;
  Commands.emplace_back(send_join{Generation});
}

void office_holder::onJoined(const join_answered &Event,
                             const time_point &Now) {
  Joining = false;
  if (Phase == phase::Retired || Phase == phase::InOffice ||
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
  Commands.emplace_back(ask_holder{});
}

void office_holder::onJoinFailed(const join_failed &, const time_point &Now) {
  Joining = false;
  if (Phase != phase::Retired)
    planJoin(Now + Limits.JoinEvery);
}

void office_holder::onHolderAnswered(const holder_answered &Event,
                                     const time_point &Now) {
  Asking = false;
  if (Phase == phase::Candidate && Dealt && mayTakeOver(Event, Now))
    claim();
}

bool office_holder::mayTakeOver(const holder_answered &Holder, time_point Now) {
  using enum holder_answered::holder_state;
  const bool Unstored =
      Holder.State == InOffice && Holder.SinceStored > Limits.StoredWithin;
  if (!Unstored)
    UnstoredSince.reset();
  else if (!UnstoredSince)
    UnstoredSince = Now;
  switch (Holder.State) {
  case Unknown:
  case OutOfOffice:
    return true;
  case Silent:
    // It may be this candidate that is cut off.
    return Holder.AgentsHere > 0 || Holder.OthersAnswer;
  case InOffice:
    if (UnstoredSince)
      return Now - *UnstoredSince >= Limits.StoredAgain;
    return Holder.SinceWon >= Limits.FoundWithin &&
           Holder.AgentsHere > Holder.Agents;
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
  Dealt = false;
  AloneSince.reset();
  Commands.emplace_back(office_won{Term, Event.TopicEnd});
  // Another candidate is to stand by.
  Commands.emplace_back(send_leave{});
}

void office_holder::onFenced(const term_fenced &Event, const time_point &Now) {
  if (Event.Term != Term)
    return;
  // The group's generations, or the clock, have begun anew.
  if (Phase == phase::Claiming)
    TermOffset += TermsPerGeneration;
  loseOffice(Now);
}

void office_holder::onClaimFailed(const claim_failed &, const time_point &) {
  if (Phase == phase::Claiming)
    Phase = phase::Candidate;
}

void office_holder::onRetire(const retire &, const time_point &Now) {
  loseOffice(Now);
  Phase = phase::Retired;
  Commands.emplace_back(send_leave{});
}

} // namespace geraniumpaddle
