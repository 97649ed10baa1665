#pragma once

#include "core/work/types/configuration.h"

#include <optional>
#include <string_view>
#include <unordered_map>

namespace geraniumpaddle::work {

enum class call_verdict : std::uint8_t {
  Allowed,
  NoConfiguration, ///< nothing is known yet; may be tried again
  NoQueue,
  UnknownKey,
};

/// What a call to \c queue_directory::admit found.
struct resolved_call {
  call_verdict Verdict = call_verdict::NoConfiguration;
  const queue_route *Route = nullptr; ///< if Allowed
  customer_id Customer;               ///< empty for an anonymous call
  std::string_view SubPath;           ///< of the path, after the prefix
};

/// The configuration in force. A version never goes back.
class queue_directory {
public:
  /// \returns false, and changes nothing, unless \p Next is newer.
  bool replace(configuration Next);

  std::uint64_t version() const { return Current.Version; }
  const configuration &current() const { return Current; }

  /// Finds the queue of a call and the customer whose key it shows.
  resolved_call resolve(std::string_view Host, std::string_view Path,
                        std::string_view Key) const;
  /// The terms of a queue now; null once it was removed.
  const queue_policy *terms(std::string_view Queue) const;
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
