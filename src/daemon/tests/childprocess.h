#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace geraniumpaddle::tests {

/// A child process under test. The destructor kills it and reaps it.
class child_process {
public:
  /// \param OutputPrefix standard output and standard error are written to
  /// PREFIX.out and PREFIX.err.
  child_process(const std::vector<std::string> &Command,
                const std::string &OutputPrefix);
  ~child_process();
  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;

  void signal(int Signal) const;
  /// The exit code, or 128 plus the signal number; empty while the process
  /// runs.
  std::optional<int> exitCode();
  /// Sends SIGKILL and waits until the process has ended.
  void kill();
  /// Most memory that the process has had resident, in KiB; 0 if it has ended.
  std::size_t peakMemoryKb() const;
  std::size_t openDescriptors() const;
  std::string output() const;
  std::string errors() const;

private:
  pid_t Pid = -1;
  std::string Prefix;
  std::optional<int> Code;
};

} // namespace geraniumpaddle::tests
