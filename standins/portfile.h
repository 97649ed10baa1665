#pragma once

#include "core/base/error.h"

#include <cstdint>
#include <cstdio>
#include <fstream>
#include <string>

namespace geraniumpaddle::standins {

/// Prints \p Port and writes it to the file \p Path. The file is renamed into
/// place, so that a reader never sees a partly written number.
/// \throws unavailable_error
inline void writePort(std::uint16_t Port, const std::string &Path) {
  std::printf("%u\n", static_cast<unsigned>(Port));
  std::fflush(stdout);
  if (Path.empty())
    return;
  const std::string TemporaryPath = Path + ".part";
  std::ofstream(TemporaryPath) << Port << '\n';
  if (std::rename(TemporaryPath.c_str(), Path.c_str()) != 0)
    throw unavailable_error("cannot write port file " + Path);
}

} // namespace geraniumpaddle::standins
