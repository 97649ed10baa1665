#include "core/topics/storeroute.h"

namespace geraniumpaddle {

namespace {

/// One call may be lost by itself.
constexpr int SilentBeforeRelay = 2;
constexpr duration ProbeInterval = std::chrono::milliseconds(700);

} // namespace

void store_route::onDirectResult(route_outcome Outcome, time_point Now) {
  switch (Outcome) {
  case route_outcome::Answered:
    SilentInRow = 0;
    Way = path::Direct;
    return;
  case route_outcome::Rejected:
    break;
  case route_outcome::NoAnswer:
    if (++SilentInRow < SilentBeforeRelay)
      return;
    break;
  }
  if (Way == path::Direct)
    LastProbe = Now;
  Way = path::Relay;
}

void store_route::onRelayResult(route_outcome Outcome) {
  if (Outcome != route_outcome::Answered)
    ++Relay;
}

bool store_route::probeDue(time_point Now) const {
  return Way == path::Relay && Now - LastProbe >= ProbeInterval;
}

} // namespace geraniumpaddle
