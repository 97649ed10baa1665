#include "codec/internal/fieldcheck.h"

#include <algorithm>
#include <cmath>

namespace geraniumpaddle {

void rejectField(std::string_view Field, std::string_view Problem) {
  throw malformed_message_error(std::string(Field) + ": " +
                                std::string(Problem));
}

const std::string &checkName(std::string_view Field, const std::string &Name,
                             bool Optional) {
  if (Name.empty() && !Optional)
    rejectField(Field, "missing");
  if (Name.size() > MaxNameBytes)
    rejectField(Field, "too long");
  const bool Printable =
      std::all_of(Name.begin(), Name.end(), [](unsigned char Byte) {
        return Byte > 0x20 && Byte != 0x7F;
      });
  if (!Printable)
    rejectField(Field, "control character or space");
  return Name;
}

const std::string &checkText(std::string_view Field, const std::string &Text) {
  if (Text.size() > MaxTextBytes)
    rejectField(Field, "too long");
  return Text;
}

double checkRate(std::string_view Field, double Value) {
  if (!std::isfinite(Value))
    rejectField(Field, "not finite");
  return checkCount(Field, Value);
}

} // namespace geraniumpaddle
