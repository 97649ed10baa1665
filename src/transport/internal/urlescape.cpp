#include "transport/urlescape.h"

#include <cctype>

namespace geraniumpaddle {

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
