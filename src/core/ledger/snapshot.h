#pragma once

#include "core/base/types/time.h"
#include "core/ledger/types/record.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpaddle {

/// 64-bit FNV-1a of \p Bytes.
std::uint64_t snapshotChecksum(std::string_view Bytes);

/// Cuts an encoded image into chunks of at most \p MaxChunkBytes.
std::vector<snapshot_chunk> splitSnapshot(log_offset Covered,
                                          std::string_view Payload,
                                          std::size_t MaxChunkBytes);

/// A complete snapshot with a correct checksum.
struct assembled_snapshot {
  log_offset Covered{};
  log_offset FirstChunk{}; ///< offset of the chunk that has to be retained
  std::string Payload;     ///< the encoded image
};

/// What became of one chunk.
enum class chunk_result : std::uint8_t {
  Stored,    ///< more chunks are missing
  Completed, ///< newest() has changed
  Old,       ///< not newer than newest()
  Invalid,   ///< impossible index, count or size, or a repeat
  Torn,      ///< complete, but the checksum does not match; dropped
};

/// Puts snapshots together from chunks that may be lost, repeated, out of
/// order, torn, or interleaved with those of other producers.
class snapshot_assembler {
public:
  static constexpr std::size_t MaxPartial = 4;
  static constexpr std::uint32_t MaxChunks = 4096;
  static constexpr std::size_t MaxSnapshotBytes = 32U << 20U;

  /// Takes a chunk that \p Producer appended at \p Offset.
  chunk_result add(const producer &Producer, log_offset Offset,
                   const snapshot_chunk &Chunk);
  /// The complete snapshot that covers most, or nullptr.
  const assembled_snapshot *newest() const {
    return Newest ? &*Newest : nullptr;
  }
  /// Frees the payload of newest(); its offsets are kept.
  void releasePayload();

private:
  struct partial {
    node_id Node;
    incarnation Incarnation{};
    log_offset Covered{};
    std::uint64_t Checksum = 0;
    log_offset FirstChunk{};
    log_offset LastChunk{};
    std::size_t Missing = 0;
    std::size_t Bytes = 0;
    std::vector<std::optional<std::string>> Chunks;
  };

  partial &partialFor(const producer &Producer, log_offset Offset,
                      const snapshot_chunk &Chunk);
  chunk_result complete(const partial &Whole);

  std::vector<partial> Partial;
  std::optional<assembled_snapshot> Newest;
};

struct snapshot_settings {
  /// Share of the retained records that the tail may take, in percent.
  std::uint32_t MaxTailPercent = 25;
  /// Longest tail, in records, that a fresh entry has to fold.
  std::uint64_t MaxTail = 50'000;
  /// A snapshot is repeated after this long, since the log forgets by age.
  duration MaxAge = std::chrono::minutes(10);
  /// How long each live entry of higher rank waits for the lower ones.
  duration RankDelay = std::chrono::seconds(5);
  /// Earliest repetition of a snapshot that was not read back.
  duration RepeatDelay = std::chrono::seconds(30);
};

/// What the decision to publish depends on.
struct snapshot_situation {
  log_offset Folded{};
  log_offset Head{};
  log_offset Oldest{};     ///< oldest record retained
  log_offset Covered{};    ///< by the newest complete snapshot; 0: none
  log_offset FirstChunk{}; ///< of the newest complete snapshot; 0: none
  std::uint32_t Rank = 0;  ///< among the live entries; 0 goes first
};

/// Decides when this entry publishes a snapshot.
class snapshot_policy {
public:
  /// A shorter tail, in records, never calls for a snapshot.
  static constexpr std::uint64_t MinTail = 1'000;

  explicit snapshot_policy(snapshot_settings Settings);

  /// True if a snapshot is to be published now.
  bool shouldPublish(const snapshot_situation &Situation, time_point Now);
  /// Notes that this entry has published; it waits before it does so again.
  void notePublished(time_point Now);

private:
  bool needed(const snapshot_situation &Situation, time_point Now) const;

  snapshot_settings Settings;
  log_offset LastCovered{};
  std::optional<time_point> LastChangeAt; ///< when Covered last changed
  std::optional<time_point> NeededSince;
  std::optional<time_point> PublishedAt;
};

} // namespace geraniumpaddle
