#include "standins/endpoint/endpointmodel.h"

#include "core/base/error.h"

#include <algorithm>
#include <array>
#include <utility>

namespace geraniumpaddle::standins {

endpoint_fault parseFault(std::string_view Name) {
  using named_fault = std::pair<std::string_view, endpoint_fault>;
  static constexpr std::array<named_fault, 7> Names = {{
      {"none", endpoint_fault::None},
      {"slow", endpoint_fault::Slow},
      {"down", endpoint_fault::Down},
      {"silent", endpoint_fault::Silent},
      {"lose_answer", endpoint_fault::LoseAnswer},
      {"half_body", endpoint_fault::HalfBody},
      {"error_500", endpoint_fault::Error500},
  }};
  for (const auto &[FaultName, Fault] : Names) {
    if (FaultName == Name)
      return Fault;
  }
  throw invalid_argument_error("unknown fault: " + std::string(Name));
}

request_plan endpoint_model::begin(std::string_view Tag, duration Latency) {
  if (Draining || InFlight >= Slots) {
    ++Refused;
    return {};
  }
  ++InFlight;
  Peak = std::max(Peak, InFlight);
  const duration Delay = Faults.Delay;
  const endpoint_fault Fault = consumeFault();
  if (Fault != endpoint_fault::Silent)
    ++Runs[std::string(Tag)];
  if (Fault == endpoint_fault::Slow)
    Latency += Delay;
  return {true, Fault, Latency};
}

/// Returns the fault of the next request. A fault with a count is cleared after
/// its last request.
endpoint_fault endpoint_model::consumeFault() {
  const endpoint_fault Fault = Faults.Fault;
  if (Faults.Count > 0 && --Faults.Count == 0)
    Faults = {};
  return Fault;
}

} // namespace geraniumpaddle::standins
