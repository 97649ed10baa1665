#include "core/topics/storeroute.h"

namespace geraniumpaddle {

namespace {

/// Unanswered direct calls in a row; a single one may be lost by chance.
constexpr int UnansweredBeforeRelay = 2;
constexpr duration ProbeInterval = std::chrono::milliseconds(700);

} // namespace

void store_route::onDirectResult(route_outcome Outcome, time_point Now) {
  switch (Outcome) {
  case route_outcome::Answered:
    UnansweredInRow = 0;
    Path = path::Direct;
    return;
  case route_outcome::Rejected:
    break;
  case route_outcome::NoAnswer:
    if (++UnansweredInRow < UnansweredBeforeRelay)
      return;
    break;
  }
  if (Path == path::Direct)
    LastProbeAt = Now;
  Path = path::Relay;
}

void store_route::onRelayResult(route_outcome Outcome) {
  if (Outcome != route_outcome::Answered)
    ++Relay;
}

bool store_route::probeDue(time_point Now) const {
  return Path == path::Relay && Now - LastProbeAt >= ProbeInterval;
}

} // namespace geraniumpaddle
