#include "cli/internal/textformat.h"

#include <array>
#include <cctype>
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

std::string urlEscape(std::string_view Text) {
  static constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Escaped;
  for (unsigned char C : Text) {
    if (std::isalnum(C) || C == '-' || C == '_' || C == '.') {
      Escaped += static_cast<char>(C);
    } else {
      Escaped += '%';
      Escaped += Digits[C >> 4U];
      Escaped += Digits[C & 15U];
    }
  }
  return Escaped;
}

} // namespace geraniumpaddle
