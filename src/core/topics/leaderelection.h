#pragma once

#include "core/topics/types/electionevents.h"

#include <optional>
#include <span>
#include <vector>

namespace geraniumpaddle {

/// Leader election of the scheduler, as one candidate takes part in it.
///
/// Candidates on strong VMs join the platform's group, others only if no
/// leader is active. The group assigns the candidacy to one of its members.
/// That member claims leadership only if the current leader can't do its work
/// any more, and then leaves the group, so that another member becomes the
/// standby. The claim is an append that fences the topic: appends of earlier
/// terms are refused from then on.
class leader_election {
public:
  /// \param Incarnation increases with each start of this candidate, and with
  ///        it the candidate's terms within one generation of the group.
  leader_election(const election_limits &Limits, std::uint64_t Incarnation)
      : Limits(Limits), Incarnation(Incarnation) {}

  /// \returns commands that are valid until the next call.
  std::span<const election_command> handle(const election_event &Event,
                                           time_point Now);

  /// The current term; nothing unless this candidate is the leader.
  std::optional<std::uint64_t> term() const;

private:
  enum class phase : std::uint8_t { Candidate, Claiming, Leading, Retired };

  void onJoined(const join_succeeded &Event, const time_point &Now);
  void onJoinFailed(const join_failed &Event, const time_point &Now);
  void onLeaderStatus(const leader_status &Event, const time_point &Now);
  void onClaimed(const claim_stored &Event, const time_point &Now);
  void onFenced(const term_fenced &Event, const time_point &Now);
  void onClaimFailed(const claim_failed &Event, const time_point &Now);
  void onStrengthCompared(const strength_compared &Event,
                          const time_point &Now);
  void onLeaderActive(const leader_active &Event, const time_point &Now);
  void onRetire(const retire &Event, const time_point &Now);
  void onTimerExpired(const election_timer_expired &Event,
                      const time_point &Now);
  bool defersToStronger(time_point Now);
  bool mayTakeOver(const leader_status &Leader, time_point Now);
  /// \param LastTerm highest term that is known here.
  void claim(std::uint64_t LastTerm);
  void stepDown(time_point Now);
  void scheduleJoin(time_point At);

  const election_limits Limits;
  const std::uint64_t Incarnation;
  phase Phase = phase::Candidate;
  std::uint64_t Generation = 0;
  std::uint64_t Term = 0;
  /// Added to terms of this candidate, after the topic refused a claim since
  /// it had seen a higher term.
  std::uint64_t TermOffset = 0;
  bool Assigned = false; ///< candidacy, by the group's last answer
  bool Weak = false;     ///< many other entries are stronger
  std::optional<time_point> LeaderActiveAt; ///< or start of this candidate
  std::optional<time_point> RecordReadAt;   ///< last record of a leader
  bool JoinPending = false;
  bool QueryPending = false;
  time_point NextJoinAt{};
  std::optional<time_point> UnreachedSince; ///< while assigned
  /// When the leader's last append was first seen to be too old.
  std::optional<time_point> StaleSince;
  std::vector<election_command> Commands;
};

} // namespace geraniumpaddle
