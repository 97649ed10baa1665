#pragma once

#include "logging/logging.h"

#include "core/base/types/time.h"

#include <cstdint>

namespace geraniumpaddle {

/// Writes lines to a descriptor without blocking. Lines that would block or
/// exceed the rate limit (a token bucket) are dropped; their number is written
/// before the next line.
class standard_output final : public ilog_output {
public:
  /// \param Descriptor is not closed.
  /// \param LinesPerSecond rate limit, and also the size of a burst.
  standard_output(int Descriptor, std::uint32_t LinesPerSecond)
      : Descriptor(Descriptor), LinesPerSecond(LinesPerSecond),
        Tokens(LinesPerSecond) {}

  void write(std::string_view Line) override;
  std::uint64_t droppedLines() const { return DroppedTotal; }

private:
  bool takeToken();
  bool tryWrite(std::string_view Line) const;

  int Descriptor;
  std::uint32_t LinesPerSecond;
  double Tokens;
  std::int64_t RefilledAtMs = 0;
  std::uint64_t Dropped = 0; ///< not yet reported in the output
  std::uint64_t DroppedTotal = 0;
};

} // namespace geraniumpaddle
