#pragma once

#include "entry/iproposer.h"

#include "peer.pb.h"

#include <cstdint>
#include <string>

namespace geraniumpaddle {

/// Serves an image of the ledger in chunks to entries that cannot get the state
/// from the log.
class state_server {
public:
  static constexpr std::size_t ChunkBytes = 1024UL * 1024;

  explicit state_server(const iproposer &Log) : Log(Log) {}

  /// Answers one request. A request for the first chunk encodes the state again
  /// if it has changed. Later chunks come from that encoding and are refused
  /// once a newer one has replaced it.
  proto::PeerResponse fetch(const proto::FetchState &Request);

private:
  const iproposer &Log;
  std::uint64_t Covered = 0;
  std::string Payload;
};

} // namespace geraniumpaddle
