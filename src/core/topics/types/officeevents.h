#pragma once

#include "core/base/types/time.h"

#include <cstdint>
#include <variant>

namespace geraniumpaddle {

// Events of an office_holder.

/// The platform's group of candidates answered.
struct join_answered {
  std::uint64_t Generation = 0;
  bool Dealt = false;     ///< the group deals the office to this candidate
  std::size_t Agents = 0; ///< that reported to this candidate lately
};
struct join_failed {};
/// What is known of the entry that was in office last.
struct holder_answered {
  enum class holder_state : std::uint8_t {
    Unknown,     ///< no other entry was ever in office
    Silent,      ///< it gave no answer
    OutOfOffice, ///< it answered that its office is over
    InOffice,
  };
  holder_state State = holder_state::Unknown;
  std::size_t AgentsHere = 0; ///< that reported to this candidate lately
  /// Of a silent holder: half of the other entries, or more, answered instead.
  bool OthersAnswer = false;
  /// The fields below are those of a holder in office.
  duration SinceStored{}; ///< since the log took something of its term
  duration SinceWon{};
  std::size_t Agents = 0; ///< that reported to it lately
};
/// The claim's fencing mark is in the topic.
struct claim_stored {
  std::uint64_t Term = 0;
  std::uint64_t TopicEnd = 0; ///< records before it belong to earlier terms
};
/// A claim, or an append of the term, was refused for a higher term.
struct term_fenced {
  std::uint64_t Term = 0;
};
struct claim_failed {};
/// Leave for good, at the end of the process.
struct retire {};
struct office_time_passed {};

using office_event =
    std::variant<join_answered, join_failed, holder_answered, claim_stored,
                 term_fenced, claim_failed, retire, office_time_passed>;

// Commands.

struct send_join {
  std::uint64_t Generation = 0; ///< the last one received
};
struct send_leave {};
struct ask_holder {};
struct send_claim {
  std::uint64_t Term = 0;
};
struct office_won {
  std::uint64_t Term = 0;
  std::uint64_t TopicEnd = 0;
};
struct office_lost {};
struct office_wake_at {
  time_point At{};
};

using office_command =
    std::variant<send_join, send_leave, ask_holder, send_claim, office_won,
                 office_lost, office_wake_at>;

struct office_limits {
  /// Pause between two calls of the group. The platform forgets a member that
  /// is silent for a time to live that is several times this.
  duration JoinEvery = std::chrono::milliseconds(250);
  /// A holder from which the log took nothing for longer no longer counts as
  /// in office: twice the pause between its records, and a slow store.
  duration StoredWithin = std::chrono::milliseconds(1200);
  /// It is given this long, from when the candidate noticed, since the store
  /// may have come back for the candidate first.
  duration StoredAgain = std::chrono::milliseconds(700);
  /// The agents find a holder that is in office for this long.
  duration FoundWithin = std::chrono::seconds(2);
  /// A candidate that no agent has reached for this long lets another stand.
  duration AloneFor = std::chrono::milliseconds(1500);
  duration StandAsideFor = std::chrono::seconds(2);
};

} // namespace geraniumpaddle
