#include "daemon/tests/childprocess.h"

#include "core/base/error.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace geraniumpaddle::tests {

namespace {

std::string readFile(const std::string &Path) {
  std::ifstream Stream(Path);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

} // namespace

child_process::child_process(const std::vector<std::string> &Command,
                             const std::string &OutputPrefix)
    : Prefix(OutputPrefix) {
  std::vector<char *> Arguments;
  Arguments.reserve(Command.size() + 1);
  for (const std::string &Argument : Command)
    Arguments.push_back(const_cast<char *>(Argument.c_str()));
  Arguments.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  constexpr int Flags = O_WRONLY | O_CREAT | O_TRUNC;
  constexpr mode_t Mode = 0600;
  posix_spawn_file_actions_addopen(&Actions, 1, (Prefix + ".out").c_str(),
                                   Flags, Mode);
  posix_spawn_file_actions_addopen(&Actions, 2, (Prefix + ".err").c_str(),
                                   Flags, Mode);
  int SpawnError = posix_spawn(&Pid, Arguments[0], &Actions, nullptr,
                               Arguments.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (SpawnError != 0)
    throw internal_error("cannot start " + Command[0]);
}

child_process::~child_process() { kill(); }

void child_process::signal(int Signal) const {
  if (!Code)
    ::kill(Pid, Signal);
}

std::optional<int> child_process::exitCode() {
  int Status = 0;
  if (!Code && waitpid(Pid, &Status, WNOHANG) == Pid)
    Code = WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status);
  return Code;
}

void child_process::kill() {
  if (Code)
    return;
  ::kill(Pid, SIGKILL);
  int Status = 0;
  waitpid(Pid, &Status, 0);
  Code = 128 + SIGKILL;
}

std::size_t child_process::peakMemoryKb() const {
  std::ifstream Status("/proc/" + std::to_string(Pid) + "/status");
  std::string Field;
  std::size_t Peak = 0;
  while (Status >> Field)
    if (Field == "VmHWM:")
      Status >> Peak;
  return Peak;
}

std::size_t child_process::openDescriptors() const {
  const std::filesystem::directory_iterator Descriptors(
      "/proc/" + std::to_string(Pid) + "/fd");
  return static_cast<std::size_t>(
      std::distance(begin(Descriptors), end(Descriptors)));
}

std::string child_process::output() const { return readFile(Prefix + ".out"); }

std::string child_process::errors() const { return readFile(Prefix + ".err"); }

} // namespace geraniumpaddle::tests
