#pragma once

#include "core/base/types/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace geraniumpaddle::standins {

/// Faults that can be injected into requests.
enum class endpoint_fault : std::uint8_t {
  None,
  Slow,       ///< runs, answers after an extra delay
  Down,       ///< refuses connections for the given time
  Silent,     ///< does not run and never answers
  LoseAnswer, ///< runs, then closes the connection
  HalfBody,   ///< runs, then closes in the middle of the body
  Error500,   ///< runs, and answers with status 500
};

/// \throws invalid_argument_error if there is no such fault.
endpoint_fault parseFault(std::string_view Name);

/// A fault to inject and how long it applies.
struct fault_plan {
  endpoint_fault Fault = endpoint_fault::None;
  duration Delay{};        ///< extra latency of Slow; duration of Down
  std::uint32_t Count = 0; ///< number of affected requests; 0: all
};

/// How the server handles one request.
struct request_plan {
  bool Accepted = false; ///< false: busy or draining; answered with 503
  endpoint_fault Fault = endpoint_fault::None;
  duration Latency{};
};

/// State of an endpoint: slots in use, injected fault and run counts. Contains
/// no sockets or timers.
class endpoint_model {
public:
  explicit endpoint_model(std::uint32_t Slots) : Slots(Slots) {}

  /// Takes a slot and counts a run of \p Tag, unless the endpoint is busy or
  /// draining. The caller calls finish() for each accepted request.
  request_plan begin(std::string_view Tag, duration Latency);
  void finish() { --InFlight; }

  void setFault(const fault_plan &Plan) { Faults = Plan; }
  void drain() { Draining = true; }
  bool idle() const { return InFlight == 0; }
  bool draining() const { return Draining; }

  /// Number of runs by X-Request-Tag since the process started.
  const std::map<std::string, std::uint64_t> &runs() const { return Runs; }
  std::uint32_t peak() const { return Peak; }
  std::uint64_t refused() const { return Refused; }

private:
  endpoint_fault consumeFault();

  std::uint32_t Slots;
  std::uint32_t InFlight = 0;
  std::uint32_t Peak = 0;
  std::uint64_t Refused = 0;
  bool Draining = false;
  fault_plan Faults;
  std::map<std::string, std::uint64_t> Runs;
};

} // namespace geraniumpaddle::standins
