#include "core/topics/storeroute.h"

namespace geraniumpaddle {

namespace {

/// One call may be lost by itself.
constexpr int SilentBeforeRelay = 2;
constexpr duration ProbeInterval = std::chrono::milliseconds(700);

} // namespace

void store_route::directEnded(route_outcome Outcome, time_point Now) {
  switch (Outcome) {
  case route_outcome::Answered:
    SilentInRow = 0;
    Way = way::Direct;
    return;
  case route_outcome::TurnedAway:
    break;
  case route_outcome::Silent:
    if (++SilentInRow < SilentBeforeRelay)
      return;
    break;
  }
  if (Way == way::Direct)
    LastProbe = Now;
  Way = way::Relay;
}

void store_route::relayEnded(route_outcome Outcome) {
  if (Outcome != route_outcome::Answered)
    ++Relay;
}

bool store_route::probeDue(time_point Now) const {
  return Way == way::Relay && Now - LastProbe >= ProbeInterval;
}

} // namespace geraniumpaddle
