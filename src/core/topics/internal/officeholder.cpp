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
                   &office_holder::onClaimed, &office_holder::onFenced,
                   &office_holder::onClaimFailed, &office_holder::onResign,
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

void office_holder::loseOffice() {
  if (Phase == phase::InOffice)
    Commands.emplace_back(office_lost{});
  if (Phase != phase::Retired)
    Phase = phase::Candidate;
}

void office_holder::onTimePassed(const office_time_passed &,
                                 const time_point &Now) {
  if (Phase == phase::Retired || Joining)
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
  if (Phase == phase::Retired || Event.Generation < Generation)
    return;
  LastAnswer = Now;
  Generation = Event.Generation;
  // The group's answer to a candidate that has resigned since is out of date.
  const bool Resigned = NextJoin > Now + Limits.JoinEvery;
  if (Resigned)
    return;
  planJoin(Now + Limits.JoinEvery);
  if (!Event.Holds) {
    loseOffice();
    return;
  }
  if (Phase == phase::InOffice || Claiming)
    return;
  Phase = phase::Claiming;
  Claiming = true;
  const std::uint64_t First = Generation * TermsPerGeneration + TermOffset +
                              Incarnation % TermsPerGeneration;
  Term = std::max(First, Term + 1);
  Commands.emplace_back(send_claim{Term});
}

void office_holder::onJoinFailed(const join_failed &, const time_point &Now) {
  Joining = false;
  if (Phase != phase::Retired)
    planJoin(std::max(NextJoin, Now + Limits.JoinEvery));
}

void office_holder::onClaimed(const claim_stored &Event,
                              const time_point &Now) {
  Claiming = false;
  if (Phase != phase::Claiming || Event.Term != Term)
    return;
  LastAnswer = Now;
  Phase = phase::InOffice;
  Commands.emplace_back(office_won{Term, Event.TopicEnd});
}

void office_holder::onFenced(const term_fenced &Event, const time_point &) {
  if (Event.Term != Term)
    return;
  if (Phase == phase::Claiming) {
    Claiming = false;
    // The group's generations, or the clock, have begun anew.
    TermOffset += TermsPerGeneration;
  }
  loseOffice();
}

void office_holder::onClaimFailed(const claim_failed &, const time_point &) {
  Claiming = false;
  if (Phase == phase::Claiming)
    Phase = phase::Candidate;
}

void office_holder::onResign(const resign &, const time_point &Now) {
  if (Phase == phase::Retired)
    return;
  loseOffice();
  Commands.emplace_back(send_leave{});
  planJoin(Now + Limits.ResignFor);
}

void office_holder::onRetire(const retire &, const time_point &) {
  loseOffice();
  Phase = phase::Retired;
  Commands.emplace_back(send_leave{});
}

} // namespace geraniumpaddle
