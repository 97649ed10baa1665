#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace geraniumpaddle {

/// Strongly typed identifier: identifiers with different tags do not convert
/// into each other.
template <typename Tag> class identifier {
public:
  identifier() = default;
  explicit identifier(std::string_view Name) : Name(Name) {}

  std::string_view view() const { return Name; }
  const std::string &str() const { return Name; }
  bool empty() const { return Name.empty(); }

  auto operator<=>(const identifier &) const = default;

private:
  std::string Name;
};

using customer_id = identifier<struct customer_tag>;
using job_id = identifier<struct job_tag>;
using worker_id = identifier<struct worker_tag>;
using rack_id = identifier<struct rack_tag>;
using availability_zone_id = identifier<struct availability_zone_tag>;
using region_id = identifier<struct region_tag>;
using service_id = identifier<struct service_tag>;
using request_id = identifier<struct request_tag>;
/// A process of the system: an entry or an agent.
using node_id = identifier<struct node_tag>;
/// Originator of a change, such as an operator, a planner or a caller.
using actor_id = identifier<struct actor_tag>;

/// Position of a record in the log. The first record has offset 1; 0 means
/// "none".
enum class log_offset : std::uint64_t {};
/// Version of the customer configuration; 0 is the empty configuration.
enum class config_version : std::uint64_t {};
/// Distinguishes successive starts of one process; later starts have larger
/// values.
enum class incarnation : std::uint64_t {};
/// Log offset of the record that placed an attempt. It fences the leases and
/// tasks of the attempt against those of other attempts.
using fencing_token = log_offset;

/// Underlying value of a strongly typed number.
template <typename Number> constexpr std::uint64_t raw(Number Value) {
  return static_cast<std::uint64_t>(Value);
}
constexpr log_offset next(log_offset Offset) {
  return log_offset{raw(Offset) + 1};
}

} // namespace geraniumpaddle

template <typename Tag> struct std::hash<geraniumpaddle::identifier<Tag>> {
  std::size_t
  operator()(const geraniumpaddle::identifier<Tag> &Id) const noexcept {
    return std::hash<std::string_view>{}(Id.view());
  }
};
