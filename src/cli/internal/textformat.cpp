#include "cli/internal/textformat.h"

#include <array>
#include <ctime>

namespace geraniumpaddle {

std::string timeText(std::int64_t Milliseconds) {
  constexpr std::int64_t PerSecond = 1000;
  std::time_t Seconds = Milliseconds / PerSecond;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::array<char, 32> Text{};
  std::strftime(Text.data(), Text.size(), "%F %T", &Parts);
  std::string Fraction = std::to_string(PerSecond + Milliseconds % PerSecond);
  return std::string(Text.data()) + '.' + Fraction.substr(1);
}

} // namespace geraniumpaddle
