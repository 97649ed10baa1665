#pragma once

#include <sys/types.h>

namespace geraniumpaddle::bench {

/// Resources used by a process: processor time since its start, and memory.
struct process_usage {
  double CpuSeconds = 0;
  double ResidentMb = 0;
};

/// Reads the usage from /proc; all zeros if there is no such process.
process_usage usageOf(pid_t Process);

} // namespace geraniumpaddle::bench
