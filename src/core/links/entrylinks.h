#pragma once

#include "core/links/types/linkmessages.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpaddle {

/// Connection management of an agent to the entries of its region. The
/// configured addresses, those of the load balancer, are used until an entry
/// has answered with the list of entries, and again when none of these answers.
class entry_links {
public:
  entry_links(const link_settings &Settings,
              std::span<const std::string> Configured);

  /// Handles one event. The commands are valid until the next call.
  std::span<const link_command> handle(const link_event &Event, time_point Now);

  /// The healthy entry that answered last, if any; reports are sent to it.
  std::optional<std::string_view> preferred() const;
  /// Next healthy entry after \p Address, in a fixed order; \p Address itself
  /// if there is no other.
  std::string_view nextHealthy(std::string_view Address) const;
  std::size_t healthyLinks() const;

private:
  struct link {
    bool Configured = false;
    bool Discovered = false; ///< listed by an entry as the address of an entry
    bool InFlight = false;
    bool Healthy = false;
    bool SendRegistration = true; ///< with the next heartbeat
    bool ResendNeeded = false;    ///< changed while a heartbeat was in flight
    int Failures = 0;
    duration Interval{};
    time_point DueAt{};
    time_point AnsweredAt{};
  };

  void onStarted(const links_started &Event, time_point Now);
  void onAnswered(const heartbeat_answered &Event, time_point Now);
  void onFailed(const heartbeat_failed &Event, time_point Now);
  void onStateChanged(const agent_state_changed &Event, time_point Now);
  void onTimerExpired(const links_timer_expired &Event, time_point Now);

  void addDiscovered(std::span<const std::string> Entries, time_point Now);
  void resetConfigured();
  bool usesConfigured() const;
  bool isActive(const link &Link) const;
  void send(const std::string &Address, link &Link);
  void sendDue(time_point Now);
  void requestTimer();

  const link_settings Settings;
  std::map<std::string, link, std::less<>> Links;
  std::vector<link_command> Commands;
};

} // namespace geraniumpaddle
