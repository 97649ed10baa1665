#include "childprocess.hh"

#include <csignal>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review2 {

child_process::child_process(const std::vector<std::string> &Command,
                             const std::string &LogPath) {
  std::vector<char *> Arguments;
  for (const std::string &Argument : Command)
    Arguments.push_back(const_cast<char *>(Argument.c_str()));
  Arguments.push_back(nullptr);
  const pid_t Parent = getpid();
  Pid = fork();
  if (Pid < 0)
    throw std::runtime_error("cannot start " + Command[0]);
  if (Pid > 0)
    return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != Parent)
    _exit(1);
  const int Log = open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(Log, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  execv(Arguments[0], Arguments.data());
  _exit(127);
}

bool child_process::running() {
  int Status = 0;
  if (Pid > 0 && waitpid(Pid, &Status, WNOHANG) == Pid)
    Pid = -1;
  return Pid > 0;
}

void child_process::kill() {
  if (!running())
    return;
  ::kill(Pid, SIGKILL);
  int Status = 0;
  waitpid(Pid, &Status, 0);
  Pid = -1;
}

} // namespace review2
