#include "transport/connectionlimiter.h"

#include "core/base/error.h"

#include <event2/event.h>

#include <utility>

namespace geraniumpaddle {

namespace {

/// Least time between two log lines, each with the actions since the last one.
constexpr duration LogInterval = std::chrono::seconds(1);

} // namespace

connection_limiter::connection_limiter(event_loop &Loop,
                                       const connection_limits &Limits)
    : Loop(Loop), Budget(Limits),
      CloseEvent(event_new(
          Loop.base(), -1, 0,
          [](int, short, void *Self) {
            static_cast<connection_limiter *>(Self)->closeExcess();
          },
          this)) {
  if (CloseEvent == nullptr) {
    throw unavailable_error("cannot create an event");
  }
}

connection_limiter::~connection_limiter() { event_free(CloseEvent); }

connection_id connection_limiter::add(std::function<void()> Close) {
  const connection_id Id = Budget.open(Loop.now());
  CloseFunctions.emplace(Id, std::move(Close));
  review();
  return Id;
}

void connection_limiter::remove(connection_id Id) {
  Budget.close(Id);
  CloseFunctions.erase(Id);
  review();
}

void connection_limiter::setBuffered(connection_id Id, std::size_t Bytes) {
  Budget.setBuffered(Id, Bytes);
  review();
}

void connection_limiter::setAwaitingResponse(connection_id Id, bool Awaiting) {
  Budget.setAwaitingResponse(Id, Awaiting, Loop.now());
  review();
}

bool connection_limiter::beginHandling(std::size_t Bytes) {
  const bool Allowed = Budget.beginHandling(Bytes);
  if (!Allowed) {
    logActions();
  }
  review();
  return Allowed;
}

void connection_limiter::endHandling(std::size_t Bytes) {
  Budget.endHandling(Bytes);
}

std::list<connection_limiter::listener>::iterator
connection_limiter::addListener(listener OnChange) {
  OnChange(MayAccept);
  return Listeners.insert(Listeners.end(), std::move(OnChange));
}

void connection_limiter::review() {
  if (Budget.exceeded()) {
    event_active(CloseEvent, EV_TIMEOUT, 1);
  }
  if (Budget.acceptsConnections() != MayAccept) {
    MayAccept = !MayAccept;
    for (const listener &Each : Listeners) {
      Each(MayAccept);
    }
  }
}

// A connection must not be closed while libevent calls back for it, so this has
// an event of its own.
void connection_limiter::closeExcess() {
  for (const connection_id Id : Budget.takeExcess()) {
    const auto Close = CloseFunctions.extract(Id);
    if (!Close.empty()) {
      Close.mapped()();
    }
  }
  logActions();
}

void connection_limiter::logActions() {
  const connection_counts &Counts = counts();
  const bool Acted = Counts.ClosedForBytes != Logged.ClosedForBytes ||
                     Counts.ClosedForPlace != Logged.ClosedForPlace ||
                     Counts.RefusedRequests != Logged.RefusedRequests;
  if (!Acted || Loop.now() - LoggedAt < LogInterval) {
    return;
  }
  Log.warningEvent(
      "limits_kept",
      {{"closed_for_bytes", Counts.ClosedForBytes - Logged.ClosedForBytes},
       {"closed_for_place", Counts.ClosedForPlace - Logged.ClosedForPlace},
       {"refused_requests", Counts.RefusedRequests - Logged.RefusedRequests},
       {"open", Counts.Open},
       {"buffered_bytes", Counts.BufferedBytes},
       {"handled_bytes", Counts.HandledBytes}});
  Logged = Counts;
  LoggedAt = Loop.now();
}

} // namespace geraniumpaddle
