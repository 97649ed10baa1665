#include "core/topics/storeroute.h"

namespace geraniumpaddle {

namespace {

/// Unanswered direct calls in a row; a single one may be lost by chance.
constexpr int UnansweredBeforeRelay = 2;
constexpr duration ProbeInterval = std::chrono::milliseconds(700);

} // namespace

void store_route::directEnded(route_outcome Outcome, time_point Now) {
  switch (Outcome) {
  case route_outcome::Answered:
    UnansweredInRow = 0;
    Path = way::Direct;
    return;
  case route_outcome::TurnedAway:
    break;
  case route_outcome::Silent:
    if (++UnansweredInRow < UnansweredBeforeRelay)
      return;
    break;
  }
  if (Path == way::Direct)
    LastProbeAt = Now;
  Path = way::Relay;
}

void store_route::relayEnded(route_outcome Outcome) {
  if (Outcome != route_outcome::Answered)
    ++Relay;
}

bool store_route::probeDue(time_point Now) const {
  return Path == way::Relay && Now - LastProbeAt >= ProbeInterval;
}

} // namespace geraniumpaddle
