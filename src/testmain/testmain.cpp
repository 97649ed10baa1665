#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakDetector.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <cstdio>
#include <cstdlib>

namespace {

// RapidCheck picks a new seed per run unless told; a verdict has to repeat.
constexpr const char *DefaultRapidCheckParameters =
    "seed=20261204 max_success=200";

} // namespace

int main(int ArgumentCount, char **Arguments) {
  setenv("RC_PARAMS", DefaultRapidCheckParameters, /*overwrite=*/0);
  std::printf("RC_PARAMS=%s\n", std::getenv("RC_PARAMS"));
  // CppUTest counts one-time allocations of libraries as leaks; leaks are
  // looked for in the AddressSanitizer build instead.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  // Blocks allocated before main are freed without the overloads from now on;
  // the detector would follow dangling entries.
  MemoryLeakWarningPlugin::getGlobalDetector()->clearAllAccounting(
      mem_leak_period_all);
  return CommandLineTestRunner::RunAllTests(ArgumentCount, Arguments);
}
