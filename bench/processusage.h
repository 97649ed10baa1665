#pragma once

#include <sys/types.h>

namespace geraniumpaddle::bench {

/// What a process has used so far.
struct process_usage {
  double CpuSeconds = 0;
  double ResidentMb = 0;
};

/// Reads the kernel's figures; zeros if there is no such process.
process_usage usageOf(pid_t Process);

} // namespace geraniumpaddle::bench
