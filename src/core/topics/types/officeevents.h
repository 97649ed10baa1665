#pragma once

#include "core/base/types/time.h"

#include <cstdint>
#include <variant>

namespace geraniumpaddle {

// Events of an office_holder.

/// The platform's group of candidates answered.
struct join_answered {
  std::uint64_t Generation = 0;
  bool Holds = false; ///< the office is this candidate's
};
struct join_failed {};
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
/// Give up the office and don't stand for it for a while.
struct resign {};
/// Leave for good, at the end of the process.
struct retire {};
struct office_time_passed {};

using office_event =
    std::variant<join_answered, join_failed, claim_stored, term_fenced,
                 claim_failed, resign, retire, office_time_passed>;

// Commands.

struct send_join {
  std::uint64_t Generation = 0; ///< the last one received
};
struct send_leave {};
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

using office_command = std::variant<send_join, send_leave, send_claim,
                                    office_won, office_lost, office_wake_at>;

struct office_limits {
  /// Pause between two calls of the group. The platform forgets a member that
  /// is silent for a time to live that is several times this.
  duration JoinEvery = std::chrono::milliseconds(250);
  /// Pause before a candidate that resigned stands again.
  duration ResignFor = std::chrono::seconds(6);
};

} // namespace geraniumpaddle
