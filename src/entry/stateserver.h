#pragma once

#include "entry/iproposer.h"

#include "peer.pb.h"

#include <cstdint>
#include <string>

namespace geraniumpaddle {

/// Serves the folded state in chunks to entries that cannot get it from the
/// log.
class state_server {
public:
  static constexpr std::size_t ChunkBytes = 1024UL * 1024;

  explicit state_server(const iproposer &Log) : Log(Log) {}

  /// Answers one request. A request for the first chunk encodes the state
  /// anew; later chunks come from that encoding, and are refused once it was
  /// replaced.
  proto::PeerResponse fetch(const proto::FetchState &Request);

private:
  const iproposer &Log;
  std::uint64_t Covered = 0;
  std::string Payload;
};

} // namespace geraniumpaddle
