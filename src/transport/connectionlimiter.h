#pragma once

#include "core/connections/connectionbudget.h"
#include "logging/logging.h"
#include "transport/eventloop.h"

#include <functional>
#include <list>
#include <memory>
#include <unordered_map>

struct event;

namespace geraniumpaddle {

/// Applies one connection_budget to the connections of all HTTP listeners of a
/// process.
class connection_limiter {
public:
  connection_limiter(event_loop &Loop, const connection_limits &Limits);
  ~connection_limiter();
  connection_limiter(const connection_limiter &) = delete;
  connection_limiter &operator=(const connection_limiter &) = delete;

  /// Adds a connection.
  /// \param Close closes it. Called from an event of the limiter, after the
  ///        connection was removed.
  connection_id add(std::function<void()> Close);
  void remove(connection_id Id);
  void setBuffered(connection_id Id, std::size_t Bytes);
  void setAwaitingResponse(connection_id Id, bool Awaiting);

  /// See connection_budget.
  bool beginHandling(std::size_t Bytes);
  void endHandling(std::size_t Bytes);

  using listener = std::function<void(bool MayAccept)>;
  /// \p OnChange is told whether a listener may accept connections, now and
  /// whenever that changes.
  std::list<listener>::iterator addListener(listener OnChange);
  void removeListener(std::list<listener>::iterator Listener) {
    Listeners.erase(Listener);
  }

  bool mayAccept() const { return MayAccept; }
  /// Whether \p Connections that are not added yet fit the limit.
  bool hasRoomFor(std::size_t Connections) const {
    return Budget.hasRoomFor(Connections);
  }

  const connection_counts &counts() const { return Budget.counts(); }

private:
  void review();
  void closeExcess();
  void logActions();

  event_loop &Loop;
  connection_budget Budget;
  std::unordered_map<connection_id, std::function<void()>> CloseFunctions;
  std::list<listener> Listeners;
  bool MayAccept = true;
  event *CloseEvent;
  connection_counts Logged; ///< as of the last log line
  time_point LoggedAt{};
  logger Log{"connections"};
};

} // namespace geraniumpaddle
