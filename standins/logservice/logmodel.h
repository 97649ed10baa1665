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

/// The log itself: records with consecutive offsets from 1, kept for a limited
/// time and number, and a limited rate of appends.
class log_model {
public:
  explicit log_model(const log_model_limits &Limits) : Limits(Limits) {}

  /// Appends all of \p Payloads or nothing.
  /// \returns the offset of the first, or nothing if the rate is exceeded.
  std::optional<std::uint64_t> append(std::span<const std::string> Payloads,
                                      time_point Now);
  /// Drops what is no longer retained at \p Now.
  void expire(time_point Now);
  /// \returns up to \p Limit records from offset \p From on.
  std::vector<const stored_record *> read(std::uint64_t From,
                                          std::size_t Limit) const;

  /// Offset of the last record; 0 if there was none yet.
  std::uint64_t head() const { return Head; }
  /// Oldest offset that is retained; head() + 1 if there is none.
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
