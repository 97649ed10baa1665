#pragma once

#include <cstddef>
#include <cstdint>

namespace geraniumpaddle {

/// Limits of a process on what its callers make it hold.
struct connection_limits {
  std::size_t MaxConnections = 2048;
  /// Bytes that are received and not handled, bodies of requests that are being
  /// handled, and responses that are not read.
  std::size_t MaxHeldBytes = std::size_t{16} * 1024 * 1024;
};

/// Identifies a connection; later ones have larger values.
enum class connection_id : std::uint64_t {};

/// What the connections of a process hold, and what was done to keep the
/// limits.
struct connection_counts {
  std::size_t Open = 0;
  std::size_t BufferedBytes = 0; ///< received or not read by the caller
  std::size_t HandledBytes = 0;  ///< bodies of requests that are being handled
  std::uint64_t ClosedForBytes = 0;
  std::uint64_t ClosedForPlace = 0;
  std::uint64_t RefusedRequests = 0;
};

} // namespace geraniumpaddle
