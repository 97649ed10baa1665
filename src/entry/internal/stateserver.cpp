#include "entry/stateserver.h"

#include "codec/imagecodec.h"

#include <algorithm>

namespace geraniumpaddle {

proto::PeerResponse state_server::fetch(const proto::FetchState &Request) {
  proto::PeerResponse Response;
  if (Request.index() == 0 && Covered != raw(Log.state().lastApplied())) {
    Covered = raw(Log.state().lastApplied());
    Payload = encodeImage(Log.state().image());
  }
  std::size_t First = Request.index() * ChunkBytes;
  bool Outdated = Request.index() > 0 && Request.covered() != Covered;
  if (!Log.ready() || Outdated || First >= Payload.size()) {
    Response.set_refusal(proto::REFUSAL_NOT_READY);
    return Response;
  }
  proto::SnapshotChunk &Chunk = *Response.mutable_state();
  Chunk.set_covered(Covered);
  Chunk.set_index(Request.index());
  Chunk.set_count(static_cast<std::uint32_t>((Payload.size() + ChunkBytes - 1) /
                                             ChunkBytes));
  Chunk.set_payload(Payload.substr(First, ChunkBytes));
  return Response;
}

} // namespace geraniumpaddle
