#pragma once

#include "core/base/error.h"

#include <cstdint>
#include <cstdio>
#include <fstream>
#include <string>

namespace geraniumpaddle::standins {

/// Prints \p Port and writes it to \p Path, under another name first, so that a
/// reader sees the whole number. \throws unavailable_error
inline void writePort(std::uint16_t Port, const std::string &Path) {
  std::printf("%u\n", static_cast<unsigned>(Port));
  std::fflush(stdout);
  if (Path.empty())
    return;
  const std::string Partial = Path + ".part";
  std::ofstream(Partial) << Port << '\n';
  if (std::rename(Partial.c_str(), Path.c_str()) != 0)
    throw unavailable_error("cannot write " + Path);
}

} // namespace geraniumpaddle::standins
