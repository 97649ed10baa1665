#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <string>

namespace review2 {

/// The file record.txt: what was sent, answered and run, with the seconds since
/// the start of the case.
class case_record {
public:
  explicit case_record(const std::string &Path)
      : Out(Path), Begin(std::chrono::steady_clock::now()) {}

  void line(const std::string &Text);
  double seconds() const;

private:
  std::ofstream Out;
  std::chrono::steady_clock::time_point Begin;
};

} // namespace review2
