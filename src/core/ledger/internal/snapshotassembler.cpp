#include "core/ledger/snapshot.h"

#include <algorithm>

namespace geraniumpaddle {

std::uint64_t snapshotChecksum(std::string_view Bytes) {
  constexpr std::uint64_t Basis = 0xCBF29CE484222325;
  constexpr std::uint64_t Prime = 0x100000001B3;
  std::uint64_t Hash = Basis;
  for (unsigned char Byte : Bytes) {
    Hash ^= Byte;
    Hash *= Prime;
  }
  return Hash;
}

std::vector<snapshot_chunk> splitSnapshot(log_offset Covered,
                                          std::string_view Payload,
                                          std::size_t MaxChunkBytes) {
  const std::uint64_t Checksum = snapshotChecksum(Payload);
  const std::size_t Count = std::max<std::size_t>(
      1, (Payload.size() + MaxChunkBytes - 1) / MaxChunkBytes);
  std::vector<snapshot_chunk> Chunks;
  Chunks.reserve(Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Chunks.push_back(
        {Covered, static_cast<std::uint32_t>(Index),
         static_cast<std::uint32_t>(Count), Checksum,
         std::string(Payload.substr(Index * MaxChunkBytes, MaxChunkBytes))});
  return Chunks;
}

chunk_result snapshot_assembler::add(const producer &Producer,
                                     log_offset Offset,
                                     const snapshot_chunk &Chunk) {
  if (Chunk.Index >= Chunk.Count || Chunk.Count > MaxChunks ||
      Chunk.Covered >= Offset)
    return chunk_result::Invalid;
  if (Newest && Chunk.Covered <= Newest->Covered)
    return chunk_result::Superseded;
  partial_snapshot &Part = findOrAddPartial(Producer, Offset, Chunk);
  std::optional<std::string> &Slot = Part.Chunks[Chunk.Index];
  if (Slot || Part.Bytes + Chunk.Payload.size() > MaxSnapshotBytes)
    return chunk_result::Invalid;
  Slot = Chunk.Payload;
  Part.Bytes += Chunk.Payload.size();
  Part.FirstChunk = std::min(Part.FirstChunk, Offset);
  Part.LastChunk = std::max(Part.LastChunk, Offset);
  --Part.Missing;
  return Part.Missing == 0 ? complete(Part) : chunk_result::Stored;
}

snapshot_assembler::partial_snapshot &snapshot_assembler::findOrAddPartial(
    const producer &Producer, log_offset Offset, const snapshot_chunk &Chunk) {
  auto Found = std::find_if(Partials.begin(), Partials.end(),
                            [&](const partial_snapshot &Part) {
                              return Part.Node == Producer.Node &&
                                     Part.Incarnation == Producer.Incarnation &&
                                     Part.Covered == Chunk.Covered &&
                                     Part.Checksum == Chunk.Checksum &&
                                     Part.Chunks.size() == Chunk.Count;
                            });
  if (Found != Partials.end())
    return *Found;
  if (Partials.size() == MaxPartials)
    Partials.erase(std::min_element(
        Partials.begin(), Partials.end(),
        [](const partial_snapshot &A, const partial_snapshot &B) {
          return A.LastChunk < B.LastChunk;
        }));
  partial_snapshot &Part = Partials.emplace_back();
  Part.Node = Producer.Node;
  Part.Incarnation = Producer.Incarnation;
  Part.Covered = Chunk.Covered;
  Part.Checksum = Chunk.Checksum;
  Part.FirstChunk = Offset;
  Part.Missing = Chunk.Count;
  Part.Chunks.resize(Chunk.Count);
  return Part;
}

chunk_result snapshot_assembler::complete(const partial_snapshot &Finished) {
  assembled_snapshot Snapshot{Finished.Covered, Finished.FirstChunk, {}};
  Snapshot.Payload.reserve(Finished.Bytes);
  for (const std::optional<std::string> &Chunk : Finished.Chunks)
    Snapshot.Payload += *Chunk;
  if (snapshotChecksum(Snapshot.Payload) != Finished.Checksum) {
    std::erase_if(Partials, [&Finished](const partial_snapshot &Part) {
      return &Part == &Finished;
    });
    return chunk_result::ChecksumMismatch;
  }
  Newest = std::move(Snapshot);
  std::erase_if(Partials, [this](const partial_snapshot &Part) {
    return Part.Covered <= Newest->Covered;
  });
  return chunk_result::Completed;
}

void snapshot_assembler::releasePayload() {
  if (!Newest)
    return;
  Newest->Payload.clear();
  Newest->Payload.shrink_to_fit();
}

} // namespace geraniumpaddle
