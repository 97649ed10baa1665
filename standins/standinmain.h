#pragma once

#include <gflags/gflags.h>

#include <cstdio>
#include <exception>

namespace geraniumpaddle::standins {

/// Implements main() of a stand-in: parses the flags, runs \p Serve, and prints
/// the error on standard error if it throws.
/// \returns the exit code.
inline int runStandin(int ArgumentCount, char **Arguments, const char *Name,
                      void (*Serve)()) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  try {
    Serve();
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "%s: %s\n", Name, Failure.what());
    return 1;
  }
  return 0;
}

} // namespace geraniumpaddle::standins
