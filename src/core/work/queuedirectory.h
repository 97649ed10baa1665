#pragma once

#include "core/work/types/configuration.h"

#include <optional>
#include <string_view>
#include <unordered_map>

namespace geraniumpaddle::work {

enum class call_verdict : std::uint8_t {
  Allowed,
  NoConfiguration, ///< none is loaded yet; may be retried
  NoQueue,
  UnknownKey,
};

/// Result of \c queue_directory::admit.
struct resolved_call {
  call_verdict Verdict = call_verdict::NoConfiguration;
  const queue_route *Route = nullptr; ///< set if Allowed
  customer_id Customer;               ///< empty for an anonymous call
  std::string_view SubPath;           ///< path after the prefix
};

/// The active configuration. Its version never decreases.
class queue_directory {
public:
  /// \returns false, and changes nothing, unless \p Next is newer.
  bool replace(configuration Next);

  std::uint64_t version() const { return Current.Version; }
  const configuration &current() const { return Current; }

  /// Finds the queue of a call and the customer that owns its API key.
  resolved_call resolve(std::string_view Host, std::string_view Path,
                        std::string_view Key) const;
  /// Current policy of a queue; null once it was removed.
  const queue_policy *policy(std::string_view Queue) const;
  std::int32_t guaranteedAccelerators(const customer_id &Customer) const;

private:
  const queue_route *findRoute(std::string_view Host,
                               std::string_view Path) const;

  configuration Current;
  std::unordered_multimap<std::string, std::size_t> ByHost;
  std::unordered_map<std::string, std::size_t> ByQueue;
  std::unordered_map<std::string, std::size_t> CustomerByKey;
  std::unordered_map<customer_id, std::size_t> ByCustomer;
};

} // namespace geraniumpaddle::work
