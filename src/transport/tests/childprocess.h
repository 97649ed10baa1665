#pragma once

#include "core/base/types/time.h"

#include <functional>
#include <sys/types.h>

namespace geraniumpaddle::test {

/// A process that runs a function of the test and exits with its result.
class child_process {
public:
  explicit child_process(const std::function<int()> &Run);
  /// Kills the process if it is still running.
  ~child_process();
  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;

  void signal(int Signal) const;
  /// Waits for the end of the process; -1 if a signal ended it.
  int exitCode();

private:
  pid_t Pid = -1;
};

/// Calls \p Check in a process for which the machine seems to have been
/// suspended for \p Length, and returns its result; true if the system doesn't
/// permit such a process. Only for a process with one thread.
bool suspendFor(std::chrono::seconds Length,
                const std::function<bool()> &Check);

} // namespace geraniumpaddle::test
