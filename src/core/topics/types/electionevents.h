#pragma once

#include "core/base/types/time.h"

#include <cstdint>
#include <variant>

namespace geraniumpaddle {

// Events of leader_election.

/// The platform's group of candidates accepted this member.
struct join_succeeded {
  std::uint64_t Generation = 0;
  bool Assigned = false;  ///< the candidacy is assigned to this member
  std::size_t Agents = 0; ///< that recently reported to this candidate
};
struct join_failed {};
/// What is known about the last leader.
struct leader_status {
  enum class leader_state : std::uint8_t {
    Unknown,    ///< no other entry has ever been the leader
    NoAnswer,   ///< it did not answer
    NotLeading, ///< it answered that it is not the leader any more
    Leading,    ///< it answered that it is the leader
  };
  leader_state State = leader_state::Unknown;
  std::uint64_t Term = 0;          ///< highest known one
  std::size_t CandidateAgents = 0; ///< that recently reported to this candidate
  /// If the leader did not answer: at least half of the other entries did.
  bool OthersReachable = false;
  // Set only if the entry is the leader.

  /// Time since the log last stored an append of its term.
  duration SinceLastAppend{};
  duration SinceElected{};
  std::size_t Agents = 0; ///< that recently reported to the leader
  bool Weaker = false;    ///< its VM is weaker than this candidate's
};
/// The append that claims the term was stored; it fences the topic.
struct claim_stored {
  std::uint64_t Term = 0;
  std::uint64_t TopicEnd = 0; ///< earlier records belong to earlier terms
};
/// A claim or another append of the term was refused, since the topic has seen
/// a higher term.
struct term_fenced {
  std::uint64_t Term = 0;
};
struct claim_failed {};
/// How many of the other known entries run on stronger VMs.
struct strength_compared {
  std::size_t Stronger = 0;
};
/// A record of the leader's term was read, so a leader is at work.
struct leader_active {};
/// Gives up leadership and candidacy for good, as the process ends.
struct retire {};
struct election_timer_expired {};

using election_event =
    std::variant<join_succeeded, join_failed, leader_status, claim_stored,
                 term_fenced, claim_failed, strength_compared, leader_active,
                 retire, election_timer_expired>;

// Commands.

struct send_join {
  std::uint64_t Generation = 0; ///< last one received
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
  /// Pause between two join calls. The platform removes a member that has not
  /// called for its time to live, which is several times as long.
  duration JoinInterval = std::chrono::milliseconds(250);
  /// A leader whose last stored append is older counts as failed: twice the
  /// pause between its appends, plus the delay of a slow store.
  duration MaxAppendAge = std::chrono::milliseconds(1200);
  /// Time from when the candidate notices such a leader to its claim: after an
  /// outage the store may be reachable for the candidate first.
  duration RecoveryGrace = std::chrono::milliseconds(700);
  /// A leader that does not answer is at work if its last record is younger.
  /// A leader stores one at least every 750 ms, and it is read within 200 ms.
  duration ActiveTime = std::chrono::milliseconds(1000);
  /// Time in which the agents find a new leader.
  duration DiscoveryTime = std::chrono::seconds(2);
  /// A candidate that no agent has reached for this long leaves the group, so
  /// that another member is assigned.
  duration UnreachedTimeout = std::chrono::milliseconds(1500);
  /// Pause before such a candidate joins again.
  duration RejoinDelay = std::chrono::seconds(2);
  /// A candidate is a weak one if at least this many entries are stronger; as
  /// many can replace a leader without it.
  std::size_t MinStronger = 3;
  /// A weak candidate joins the group only if no leader was active for this
  /// long: stronger ones had time to take over by then.
  duration WeakJoinDelay = std::chrono::seconds(2);
};

} // namespace geraniumpaddle
