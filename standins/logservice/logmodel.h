#pragma once

#include "core/base/types/time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpaddle::standins {

/// Retention and rate limits of a log_model.
struct log_model_limits {
  std::uint64_t RetainRecords = 1'000'000;
  duration RetainTime = std::chrono::hours(24);
  std::uint32_t MaxAppendsPerSecond = 300;
};

struct stored_record {
  std::uint64_t Offset;
  time_point At;
  std::string Payload;
};

/// In-memory log: records with consecutive offsets from 1. The age and the
/// number of retained records and the rate of appends are limited.
class log_model {
public:
  explicit log_model(const log_model_limits &Limits) : Limits(Limits) {}

  /// Appends all \p Payloads or none.
  /// \returns the offset of the first record, or nothing if the rate is
  ///          exceeded.
  std::optional<std::uint64_t> append(std::span<const std::string> Payloads,
                                      time_point Now);
  /// Drops records that exceed the retention limits at \p Now.
  void expire(time_point Now);
  /// \returns up to \p Limit records starting at offset \p From.
  std::vector<const stored_record *> read(std::uint64_t From,
                                          std::size_t Limit) const;

  /// Offset of the last record; 0 if nothing was appended yet.
  std::uint64_t head() const { return Head; }
  /// Oldest retained offset; head() + 1 if no record is retained.
  std::uint64_t oldest() const { return Head + 1 - Records.size(); }

private:
  bool takeToken(time_point Now);

  log_model_limits Limits;
  std::deque<stored_record> Records;
  std::uint64_t Head = 0;
  std::optional<time_point> LastAppend;
  double Tokens = 0;
};

} // namespace geraniumpaddle::standins
