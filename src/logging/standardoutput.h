#pragma once

#include "logging/logging.h"

#include "core/base/types/time.h"

#include <cstdint>

namespace geraniumpaddle {

/// Writes lines to a descriptor without ever waiting for its reader. Lines
/// that would block, and those beyond the budget of a second, are left out and
/// counted; the next line that is written is preceded by their number.
class standard_output final : public ilog_output {
public:
  /// \param Descriptor stays open.
  /// \param LinesPerSecond budget of lines, with a burst of as many.
  standard_output(int Descriptor, std::uint32_t LinesPerSecond)
      : Descriptor(Descriptor), LinesPerSecond(LinesPerSecond),
        Credit(LinesPerSecond) {}

  void write(std::string_view Line) override;
  std::uint64_t leftOut() const { return LeftOutTotal; }

private:
  bool takeCredit();
  bool writeNow(std::string_view Line) const;

  int Descriptor;
  std::uint32_t LinesPerSecond;
  double Credit;
  std::int64_t CreditAtMs = 0;
  std::uint64_t LeftOut = 0; ///< since the last line that was written
  std::uint64_t LeftOutTotal = 0;
};

} // namespace geraniumpaddle
