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

/// Splits an encoded image into chunks of at most \p MaxChunkBytes each.
std::vector<snapshot_chunk> splitSnapshot(log_offset Covered,
                                          std::string_view Payload,
                                          std::size_t MaxChunkBytes);

/// A complete snapshot with a correct checksum.
struct assembled_snapshot {
  log_offset Covered{};
  log_offset FirstChunk{}; ///< its earliest chunk, which the log must retain
  std::string Payload;     ///< the encoded image
};

/// Result of adding one chunk.
enum class chunk_result : std::uint8_t {
  Stored,           ///< more chunks are missing
  Completed,        ///< newest() has changed
  Superseded,       ///< covers no more than newest()
  Invalid,          ///< index, count or size out of range, or a duplicate
  ChecksumMismatch, ///< the last chunk arrived; the snapshot was dropped
};

/// Assembles snapshots from chunks that may be lost, duplicated, reordered,
/// damaged, or interleaved with those of other producers.
class snapshot_assembler {
public:
  static constexpr std::size_t MaxPartials = 4;
  static constexpr std::uint32_t MaxChunks = 4096;
  static constexpr std::size_t MaxSnapshotBytes = 32U << 20U;

  /// Adds a chunk that \p Producer appended at \p Offset.
  chunk_result add(const producer &Producer, log_offset Offset,
                   const snapshot_chunk &Chunk);
  /// The complete snapshot that covers the most records, or nullptr.
  const assembled_snapshot *newest() const {
    return Newest ? &*Newest : nullptr;
  }
  /// Frees the payload of newest() but keeps its offsets.
  void releasePayload();

private:
  struct partial_snapshot {
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

  partial_snapshot &findOrAddPartial(const producer &Producer,
                                     log_offset Offset,
                                     const snapshot_chunk &Chunk);
  chunk_result complete(const partial_snapshot &Finished);

  std::vector<partial_snapshot> Partials;
  std::optional<assembled_snapshot> Newest;
};

/// When snapshots are published. The tail is the part of the log that the
/// newest snapshot does not cover.
struct snapshot_settings {
  /// Longest tail, in percent of the retained records.
  std::uint32_t MaxTailPercent = 25;
  /// Longest tail, in records, that a new entry has to replay.
  std::uint64_t MaxTail = 50'000;
  /// A snapshot is published again after this time, since the log also deletes
  /// records by age.
  duration MaxAge = std::chrono::minutes(10);
  /// Additional delay per rank, so that normally one live entry publishes.
  duration RankDelay = std::chrono::seconds(5);
  /// Time after which a snapshot that was not read back is published again.
  duration RepeatDelay = std::chrono::seconds(30);
};

/// Input of the decision to publish a snapshot.
struct snapshot_conditions {
  log_offset LastApplied{};
  log_offset Head{};
  log_offset Oldest{};     ///< oldest retained record
  log_offset Covered{};    ///< by the newest complete snapshot; 0: none
  log_offset FirstChunk{}; ///< of the newest complete snapshot; 0: none
  std::uint32_t Rank = 0;  ///< among the live entries; 0 publishes first
};

/// Decides when this entry publishes a snapshot.
class snapshot_policy {
public:
  /// A tail shorter than this, in records, does not trigger a snapshot.
  static constexpr std::uint64_t MinTail = 1'000;

  explicit snapshot_policy(snapshot_settings Settings);

  /// True if this entry should publish a snapshot now.
  bool shouldPublish(const snapshot_conditions &Conditions, time_point Now);
  /// Called when this entry publishes a snapshot; starts RepeatDelay.
  void notePublished(time_point Now);

private:
  bool needed(const snapshot_conditions &Conditions, time_point Now) const;

  snapshot_settings Settings;
  log_offset LastCovered{};
  std::optional<time_point> LastChangeAt; ///< when Covered last changed
  std::optional<time_point> NeededSince;
  std::optional<time_point> PublishedAt;
};

} // namespace geraniumpaddle
