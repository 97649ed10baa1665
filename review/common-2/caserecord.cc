#include "caserecord.hh"

#include <iomanip>

namespace review2 {

double case_record::seconds() const {
  const auto Passed = std::chrono::steady_clock::now() - Begin;
  return std::chrono::duration<double>(Passed).count();
}

void case_record::line(const std::string &Text) {
  Out << std::fixed << std::setprecision(3) << std::setw(8) << seconds() << "  "
      << Text << std::endl;
}

} // namespace review2
