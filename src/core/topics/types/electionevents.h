#pragma once

#include "core/base/types/time.h"

#include <cstdint>
#include <variant>

namespace geraniumpaddle {

// Events of an leader_election.

/// The platform's group of candidates answered.
struct join_succeeded {
  std::uint64_t Generation = 0;
  bool Dealt = false;     ///< the group deals the office to this candidate
  std::size_t Agents = 0; ///< that reported to this candidate lately
};
struct join_failed {};
/// What is known of the entry that was in office last.
struct leader_status {
  enum class leader_state : std::uint8_t {
    Unknown,    ///< no other entry was ever in office
    NoAnswer,   ///< it gave no answer
    NotLeading, ///< it answered that its office is over
    Leading,
  };
  leader_state State = leader_state::Unknown;
  std::size_t CandidateAgents = 0; ///< that reported to this candidate lately
  /// Of a silent holder: half of the other entries, or more, answered instead.
  bool OthersReachable = false;
  /// The fields below are those of a holder in office.
  duration SinceLastAppend{}; ///< since the log took something of its term
  duration SinceElected{};
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
struct election_timer_expired {};

using election_event =
    std::variant<join_succeeded, join_failed, leader_status, claim_stored,
                 term_fenced, claim_failed, retire, election_timer_expired>;

// Commands.

struct send_join {
  std::uint64_t Generation = 0; ///< the last one received
};
struct send_leave {};
struct query_leader {};
struct send_claim {
  std::uint64_t Term = 0;
};
struct leadership_acquired {
  std::uint64_t Term = 0;
  std::uint64_t TopicEnd = 0;
};
struct leadership_lost {};
struct set_election_timer {
  time_point At{};
};

using election_command =
    std::variant<send_join, send_leave, query_leader, send_claim,
                 leadership_acquired, leadership_lost, set_election_timer>;

struct election_limits {
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
