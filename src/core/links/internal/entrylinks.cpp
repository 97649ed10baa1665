#include "core/links/entrylinks.h"

#include "core/base/membertable.h"

#include <algorithm>

namespace geraniumpaddle {

entry_links::entry_links(const link_settings &Settings,
                         std::span<const std::string> Configured)
    : Settings(Settings) {
  for (const std::string &Address : Configured) {
    Links[Address].Configured = true;
    Links[Address].Interval = Settings.FirstInterval;
  }
}

std::span<const link_command> entry_links::handle(const link_event &Event,
                                                  time_point Now) {
  using table =
      member_table<&entry_links::onStarted, &entry_links::onAnswered,
                   &entry_links::onFailed, &entry_links::onStateChanged,
                   &entry_links::onTimerExpired>;
  Commands.clear();
  table::dispatch(*this, Event, Now);
  sendDue(Now);
  requestTimer();
  return Commands;
}

std::optional<std::string_view> entry_links::preferred() const {
  auto Later = [](const auto &Left, const auto &Right) {
    if (Left.second.Healthy != Right.second.Healthy)
      return Right.second.Healthy;
    return Left.second.AnsweredAt < Right.second.AnsweredAt;
  };
  auto Best = std::max_element(Links.begin(), Links.end(), Later);
  if (Best == Links.end() || !Best->second.Healthy)
    return std::nullopt;
  return Best->first;
}

std::string_view entry_links::nextHealthy(std::string_view Address) const {
  auto Healthy = [](const auto &Entry) { return Entry.second.Healthy; };
  auto Next = std::find_if(Links.upper_bound(Address), Links.end(), Healthy);
  if (Next == Links.end())
    Next = std::find_if(Links.begin(), Links.end(), Healthy);
  return Next == Links.end() ? Address : std::string_view(Next->first);
}

std::size_t entry_links::healthyLinks() const {
  return static_cast<std::size_t>(
      std::count_if(Links.begin(), Links.end(),
                    [](const auto &Entry) { return Entry.second.Healthy; }));
}

void entry_links::onStarted(const links_started &, time_point Now) {
  for (auto &[Address, Link] : Links)
    Link.DueAt = Now;
}

void entry_links::onAnswered(const heartbeat_answered &Event, time_point Now) {
  auto Found = Links.find(Event.Address);
  if (Found == Links.end())
    return;
  link &Link = Found->second;
  Link.InFlight = false;
  Link.Healthy = true;
  Link.Failures = 0;
  Link.AnsweredAt = Now;
  Link.SendRegistration = Event.RegistrationWanted;
  Link.Interval =
      std::clamp(Event.Interval, Settings.RetryInterval, Settings.MaxInterval);
  bool SendNow = Event.RegistrationWanted || Link.ResendNeeded;
  Link.ResendNeeded = false;
  Link.DueAt = SendNow ? Now : Now + Link.Interval;
  if (Link.Discovered)
    resetConfigured();
  addDiscovered(Event.Entries, Now);
}

void entry_links::onFailed(const heartbeat_failed &Event, time_point Now) {
  auto Found = Links.find(Event.Address);
  if (Found == Links.end())
    return;
  link &Link = Found->second;
  Link.InFlight = false;
  Link.Healthy = false;
  Link.SendRegistration = true;
  Link.ResendNeeded = false;
  Link.Failures++;
  Link.DueAt = Now + Settings.RetryInterval;
  Commands.emplace_back(replace_connection{Event.Address});
  if (Link.Failures >= Settings.MaxFailures)
    Link.Discovered = false;
  if (!Link.Discovered && !Link.Configured)
    Links.erase(Found);
  if (usesConfigured())
    for (auto &[Address, Other] : Links)
      if (!Other.InFlight && !Other.Healthy)
        Other.DueAt = std::min(Other.DueAt, Now + Settings.RetryInterval);
}

void entry_links::onStateChanged(const agent_state_changed &, time_point Now) {
  for (auto &[Address, Link] : Links) {
    Link.ResendNeeded = Link.InFlight;
    Link.DueAt = Now;
  }
}

void entry_links::onTimerExpired(const links_timer_expired &, time_point) {}

void entry_links::addDiscovered(std::span<const std::string> Entries,
                                time_point Now) {
  for (const std::string &Address : Entries) {
    auto [Entry, New] = Links.try_emplace(Address);
    Entry->second.Discovered = true;
    if (!New)
      continue;
    Entry->second.Interval = Settings.FirstInterval;
    Entry->second.DueAt = Now;
  }
}

/// Another entry may be behind the load balancer when it is used again.
void entry_links::resetConfigured() {
  for (auto &[Address, Link] : Links) {
    if (Link.Discovered)
      continue;
    Link.Healthy = false;
    Link.SendRegistration = true;
  }
}

bool entry_links::usesConfigured() const {
  return std::none_of(Links.begin(), Links.end(), [](const auto &Entry) {
    return Entry.second.Discovered && Entry.second.Healthy;
  });
}

/// Links to the load balancer are not maintained once entries answer directly.
bool entry_links::isActive(const link &Link) const {
  return Link.Discovered || usesConfigured();
}

void entry_links::send(const std::string &Address, link &Link) {
  Link.InFlight = true;
  Commands.emplace_back(
      send_heartbeat{Address, Link.SendRegistration, Settings.ReplyTimeout});
}

void entry_links::sendDue(time_point Now) {
  for (auto &[Address, Link] : Links)
    if (!Link.InFlight && Link.DueAt <= Now && isActive(Link))
      send(Address, Link);
}

void entry_links::requestTimer() {
  time_point At = time_point::max();
  for (const auto &[Address, Link] : Links)
    if (!Link.InFlight && isActive(Link))
      At = std::min(At, Link.DueAt);
  if (At != time_point::max())
    Commands.emplace_back(set_links_timer{At});
}

} // namespace geraniumpaddle
