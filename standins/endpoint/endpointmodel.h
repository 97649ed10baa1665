#pragma once

#include "core/base/types/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace geraniumpaddle::standins {

/// What goes wrong with requests, on demand.
enum class endpoint_fault : std::uint8_t {
  None,
  Slow,       ///< runs, and answers later
  Down,       ///< refuses connections for a time
  Silent,     ///< never answers and does not run
  LoseAnswer, ///< runs, then closes the connection
  HalfBody,   ///< runs, then closes in the middle of the body
  Error500,   ///< runs, and answers with status 500
};

/// \throws invalid_argument_error if there is no such fault.
endpoint_fault parseFault(std::string_view Name);

struct fault_plan {
  endpoint_fault Fault = endpoint_fault::None;
  duration Delay{};        ///< of Slow; how long Down lasts
  std::uint32_t Count = 0; ///< requests that it hits; 0: every one
};

/// What happens to one request.
struct service_plan {
  bool Accepted = false; ///< false: busy or draining, to be answered with 503
  endpoint_fault Fault = endpoint_fault::None;
  duration Latency{};
};

/// An endpoint's slots, its faults, and what it ran; without sockets or timers.
class endpoint_model {
public:
  explicit endpoint_model(std::uint32_t Slots) : Slots(Slots) {}

  /// Takes a slot and counts a run of \p Tag, unless busy or draining. Each
  /// accepted request is ended by finish().
  service_plan begin(std::string_view Tag, duration Latency);
  void finish() { --InFlight; }

  void setFault(const fault_plan &Plan) { Faults = Plan; }
  void drain() { Draining = true; }
  bool idle() const { return InFlight == 0; }
  bool draining() const { return Draining; }

  /// Runs by X-Request-Tag since the start.
  const std::map<std::string, std::uint64_t> &runs() const { return Runs; }
  std::uint32_t peak() const { return Peak; }
  std::uint64_t refused() const { return Refused; }

private:
  endpoint_fault takeFault();

  std::uint32_t Slots;
  std::uint32_t InFlight = 0;
  std::uint32_t Peak = 0;
  std::uint64_t Refused = 0;
  bool Draining = false;
  fault_plan Faults;
  std::map<std::string, std::uint64_t> Runs;
};

} // namespace geraniumpaddle::standins
