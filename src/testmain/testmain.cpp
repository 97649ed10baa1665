#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakDetector.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <cstdio>
#include <cstdlib>

namespace {

// RapidCheck picks a new seed for each run by default. A fixed seed makes test
// results reproducible.
constexpr const char *DefaultRapidCheckParameters =
    "seed=20261204 max_success=200";

} // namespace

int main(int ArgumentCount, char **Arguments) {
  setenv("RC_PARAMS", DefaultRapidCheckParameters, /*overwrite=*/0);
  std::printf("RC_PARAMS=%s\n", std::getenv("RC_PARAMS"));
  // CppUTest reports one-time allocations of libraries as leaks. The
  // AddressSanitizer build detects leaks instead.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  // Blocks allocated before main are freed without the overloads from now on.
  // Without this call the detector would keep dangling entries for them.
  MemoryLeakWarningPlugin::getGlobalDetector()->clearAllAccounting(
      mem_leak_period_all);
  return CommandLineTestRunner::RunAllTests(ArgumentCount, Arguments);
}
