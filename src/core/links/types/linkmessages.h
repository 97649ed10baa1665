#pragma once

#include "core/base/types/time.h"

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace geraniumpaddle {

/// Settings of an agent's links to the entries of its region.
struct link_settings {
  duration FirstInterval = std::chrono::seconds(1);
  duration MaxInterval = std::chrono::seconds(30);
  /// A heartbeat without an answer by then counts as failed.
  duration ReplyTimeout = std::chrono::milliseconds(1500);
  /// Time between heartbeats on a failing link.
  duration RetryInterval = std::chrono::milliseconds(500);
  /// Consecutive failures after which an entry is removed, unless it is one of
  /// the configured addresses.
  int MaxFailures = 8;
};

struct links_started {};

/// An entry answered a heartbeat.
struct heartbeat_answered {
  std::string Address;
  duration Interval{}; ///< until the next heartbeat
  bool RegistrationWanted = false;
  std::vector<std::string> Entries; ///< peer addresses of the live entries
};

/// No answer came within the time limit, or the call failed.
struct heartbeat_failed {
  std::string Address;
};

/// The agent's state changed, e.g. by a drain; sent to every entry at once.
struct agent_state_changed {};

/// The time set by the last set_links_timer has been reached.
struct links_timer_expired {};

using link_event =
    std::variant<links_started, heartbeat_answered, heartbeat_failed,
                 agent_state_changed, links_timer_expired>;

/// Send a heartbeat; answered by one heartbeat_answered or heartbeat_failed.
struct send_heartbeat {
  std::string Address;
  bool WithRegistration = false;
  duration Timeout{};
};

/// The connection to \p Address may be dead: replace it by a new one.
struct replace_connection {
  std::string Address;
};

/// Send links_timer_expired at this time; replaces the previous timer.
struct set_links_timer {
  time_point At{};
};

using link_command =
    std::variant<send_heartbeat, replace_connection, set_links_timer>;

} // namespace geraniumpaddle
