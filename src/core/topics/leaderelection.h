#pragma once

#include "core/topics/types/electionevents.h"

#include <optional>
#include <span>
#include <vector>

namespace geraniumpaddle {

/// Stands for the office of the scheduler. The platform's group deals the
/// right to stand to one candidate; that one takes office only if the entry in
/// office can't do its work any more, and then leaves the group, so that
/// another stands by. The fencing mark in the topic makes sure that an earlier
/// holder can record nothing.
class leader_election {
public:
  /// \param Incarnation rises with each start of this candidate; its terms in
  ///        one generation of the group rise with it.
  leader_election(const election_limits &Limits, std::uint64_t Incarnation)
      : Limits(Limits), Incarnation(Incarnation) {}

  /// \returns commands that are valid until the next call.
  std::span<const election_command> handle(const election_event &Event,
                                           time_point Now);

  /// The term in office; nothing while out of office.
  std::optional<std::uint64_t> term() const;

private:
  enum class phase : std::uint8_t { Candidate, Claiming, Leading, Retired };

  void onJoined(const join_succeeded &Event, const time_point &Now);
  void onJoinFailed(const join_failed &Event, const time_point &Now);
  void onHolderAnswered(const leader_status &Event, const time_point &Now);
  void onClaimed(const claim_stored &Event, const time_point &Now);
  void onFenced(const term_fenced &Event, const time_point &Now);
  void onClaimFailed(const claim_failed &Event, const time_point &Now);
  void onRetire(const retire &Event, const time_point &Now);
  void onTimePassed(const election_timer_expired &Event, const time_point &Now);
  bool mayTakeOver(const leader_status &Holder, time_point Now);
  void claim();
  void loseOffice(time_point Now);
  void planJoin(time_point At);

  const election_limits Limits;
  const std::uint64_t Incarnation;
  phase Phase = phase::Candidate;
  std::uint64_t Generation = 0;
  std::uint64_t Term = 0;
  /// Added to the generation if the topic has seen a higher term than that.
  std::uint64_t TermOffset = 0;
  bool Dealt = false; ///< by the group's last answer
  bool Joining = false;
  bool Asking = false;
  time_point NextJoin{};
  std::optional<time_point> AloneSince; ///< while dealt the office
  /// Since when the holder's last record is seen to be too old.
  std::optional<time_point> UnstoredSince;
  std::vector<election_command> Commands;
};

} // namespace geraniumpaddle
