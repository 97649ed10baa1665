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
struct state_changed {};

/// The time set by the last links_wake_at has been reached.
struct links_timer_fired {};

using link_event =
    std::variant<links_started, heartbeat_answered, heartbeat_failed,
                 state_changed, links_timer_fired>;

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

/// Send links_timer_fired at this time; replaces the previous timer.
struct links_wake_at {
  time_point At{};
};

using link_command =
    std::variant<send_heartbeat, replace_connection, links_wake_at>;

} // namespace geraniumpaddle
