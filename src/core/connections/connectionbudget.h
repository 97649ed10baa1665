#pragma once

#include "core/base/types/time.h"
#include "core/connections/types/connectionlimits.h"

#include <map>
#include <optional>
#include <vector>

namespace geraniumpaddle {

/// Keeps a process within its memory and descriptors under callers that send
/// too much, too slowly, over too many connections, or read nothing.
///
/// Decides which connections to close and which requests to refuse. Callers
/// within the limits hold little, so the connections that hold most are closed
/// first, and of those that only hold their place the ones which have never
/// completed a request.
class connection_budget {
public:
  explicit connection_budget(const connection_limits &Limits)
      : Limits(Limits) {}

  connection_id open(time_point Now);
  void close(connection_id Id);

  /// \param Bytes that the connection has in its buffers now.
  void setBuffered(connection_id Id, std::size_t Bytes);
  /// A request with a body of \p Bytes is complete.
  /// \returns false if it has to be refused, since the requests that are being
  ///          handled hold too much already.
  bool beginHandling(std::size_t Bytes);
  /// Nothing holds the request any more.
  void endHandling(std::size_t Bytes) { Counts.HandledBytes -= Bytes; }
  /// The connection waits for the response to a request, or does so no more.
  void setAwaitingResponse(connection_id Id, bool Awaiting, time_point Now);

  /// Connections to close so that the limits hold. They count as closed.
  std::vector<connection_id> takeExcess();
  bool exceeded() const { return holdsTooMuch() || !hasRoomFor(0); }
  /// Whether \p Number more connections fit without another one being closed.
  bool hasRoomFor(std::size_t Number) const {
    return Counts.Open + Number <= Limits.MaxConnections;
  }
  /// Whether another connection can be accepted, perhaps in place of an open
  /// one.
  bool acceptsConnections() const;

  const connection_counts &counts() const { return Counts; }

private:
  struct connection {
    std::size_t Buffered = 0;
    bool AwaitingResponse = false;
    bool Completed = false; ///< a request of it was answered
    time_point ActiveAt{};  ///< opened, or last answered
  };

  bool holdsTooMuch() const {
    return Counts.BufferedBytes + Counts.HandledBytes > Limits.MaxHeldBytes;
  }
  std::optional<connection_id> largest() const;
  std::optional<connection_id> mostDispensable() const;

  const connection_limits Limits;
  std::uint64_t LastId = 0;
  std::map<connection_id, connection> Connections;
  std::size_t Awaiting = 0; ///< connections that wait for a response
  connection_counts Counts;
};

} // namespace geraniumpaddle
