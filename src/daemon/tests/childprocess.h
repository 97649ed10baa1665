#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace geraniumpaddle::tests {

/// A program under test. It is killed and waited for with its owner.
class child_process {
public:
  /// \param OutputStem standard output and error go to STEM.out and STEM.err.
  child_process(const std::vector<std::string> &Command,
                const std::string &OutputStem);
  ~child_process();
  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;

  void signal(int Signal) const;
  /// The exit code, or 128 and the signal, once the process has ended.
  std::optional<int> exitCode();
  /// Kills the process and waits for its end.
  void kill();
  std::string output() const;
  std::string errors() const;

private:
  pid_t Pid = -1;
  std::string Stem;
  std::optional<int> Code;
};

} // namespace geraniumpaddle::tests
