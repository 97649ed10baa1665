#include "transport/tests/childprocess.h"

#include <csignal>
#include <fstream>
#include <sched.h>
#include <sys/wait.h>
#include <unistd.h>

namespace geraniumpaddle::test {

child_process::child_process(const std::function<int()> &Run) : Pid(::fork()) {
  if (Pid == 0)
    ::_exit(Run());
}

child_process::~child_process() {
  if (Pid > 0) {
    signal(SIGKILL);
    exitCode();
  }
}

void child_process::signal(int Signal) const { ::kill(Pid, Signal); }

int child_process::exitCode() {
  int Status = 0;
  ::waitpid(Pid, &Status, 0);
  Pid = -1;
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
}

bool suspendFor(std::chrono::seconds Length,
                const std::function<bool()> &Check) {
  if (::unshare(CLONE_NEWUSER | CLONE_NEWTIME) != 0)
    return true;
  std::ofstream Offsets("/proc/self/timens_offsets");
  Offsets << "boottime " << Length.count() << " 0" << std::endl;
  if (!Offsets)
    return true;
  // The namespace holds for the children of the process.
  return child_process([&] { return Check() ? 0 : 1; }).exitCode() == 0;
}

} // namespace geraniumpaddle::test
