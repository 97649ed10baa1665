#pragma once

#include "core/topics/types/officeevents.h"

#include <optional>
#include <span>
#include <vector>

namespace geraniumpaddle {

/// Stands for the office of the scheduler in the platform's group. The group
/// deals the office to one member; the fencing mark in the topic makes sure
/// that an earlier holder can record nothing any more.
class office_holder {
public:
  /// \param Incarnation rises with each start of this candidate; its terms in
  ///        one generation of the group rise with it.
  office_holder(const office_limits &Limits, std::uint64_t Incarnation)
      : Limits(Limits), Incarnation(Incarnation) {}

  /// \returns commands that are valid until the next call.
  std::span<const office_command> handle(const office_event &Event,
                                         time_point Now);

  /// The term in office; nothing while out of office.
  std::optional<std::uint64_t> term() const;
  /// When the group or the topic last confirmed this candidate.
  time_point lastAnswer() const { return LastAnswer; }

private:
  enum class phase : std::uint8_t { Candidate, Claiming, InOffice, Retired };

  void onJoined(const join_answered &Event, const time_point &Now);
  void onJoinFailed(const join_failed &Event, const time_point &Now);
  void onClaimed(const claim_stored &Event, const time_point &Now);
  void onFenced(const term_fenced &Event, const time_point &Now);
  void onClaimFailed(const claim_failed &Event, const time_point &Now);
  void onResign(const resign &Event, const time_point &Now);
  void onRetire(const retire &Event, const time_point &Now);
  void onTimePassed(const office_time_passed &Event, const time_point &Now);
  void loseOffice();
  void planJoin(time_point At);

  const office_limits Limits;
  const std::uint64_t Incarnation;
  phase Phase = phase::Candidate;
  std::uint64_t Generation = 0;
  std::uint64_t Term = 0;
  /// Added to the generation if the topic has seen a higher term than that.
  std::uint64_t TermOffset = 0;
  bool Joining = false;
  bool Claiming = false;
  time_point NextJoin{};
  time_point LastAnswer{};
  std::vector<office_command> Commands;
};

} // namespace geraniumpaddle
