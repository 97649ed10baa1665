#pragma once

#include "core/links/types/linkmessages.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpaddle {

/// An agent's links to the entries of its region. The configured addresses,
/// which lead to the balancer, are used until an entry has answered with the
/// list of entries, and again when none of them answers.
class entry_links {
public:
  entry_links(const link_settings &Settings,
              std::span<const std::string> Configured);

  /// Decides on one event. The commands are valid until the next call.
  std::span<const link_command> handle(const link_event &Event, time_point Now);

  /// The entry that answered last, if one is healthy; where to send reports.
  std::optional<std::string_view> preferred() const;
  /// Next healthy entry after \p Address, in a fixed order; \p Address itself
  /// if there is no other.
  std::string_view nextHealthy(std::string_view Address) const;
  std::size_t healthyLinks() const;

private:
  struct link {
    bool Configured = false;
    bool Learned = false; ///< an entry named it as an entry's own address
    bool InFlight = false;
    bool Healthy = false;
    bool Announce = true;   ///< the next heartbeat carries the registration
    bool SendAgain = false; ///< changed while a heartbeat was in flight
    int Failures = 0;
    duration Interval{};
    time_point DueAt{};
    time_point AnsweredAt{};
  };

  void onStarted(const links_started &Event, time_point Now);
  void onAnswered(const heartbeat_answered &Event, time_point Now);
  void onFailed(const heartbeat_failed &Event, time_point Now);
  void onStateChanged(const agent_state_changed &Event, time_point Now);
  void onTimer(const links_timer_expired &Event, time_point Now);

  void learnEntries(std::span<const std::string> Entries, time_point Now);
  void retireConfigured();
  bool onlyConfigured() const;
  bool wanted(const link &Link) const;
  void send(const std::string &Address, link &Link);
  void sendDue(time_point Now);
  void requestWakeup();

  const link_settings Settings;
  std::map<std::string, link, std::less<>> Links;
  std::vector<link_command> Commands;
};

} // namespace geraniumpaddle
