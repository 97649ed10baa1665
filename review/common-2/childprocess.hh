#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace review2 {

/// A program started by a case. It ends with the case, however that ends.
class child_process {
public:
  /// Standard output and standard error go to the file \p LogPath.
  child_process(const std::vector<std::string> &Command,
                const std::string &LogPath);
  ~child_process() { kill(); }
  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;

  bool running();
  /// Sends SIGKILL and waits for the end.
  void kill();

private:
  pid_t Pid = -1;
};

} // namespace review2
