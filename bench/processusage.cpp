#include "bench/processusage.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace geraniumpaddle::bench {

process_usage usageOf(pid_t Process) {
  std::string Folder = "/proc/" + std::to_string(Process);
  std::string Line;
  std::getline(std::ifstream(Folder + "/stat"), Line);
  // The name in parentheses may hold spaces; the fields after it do not.
  std::istringstream Fields(Line.substr(Line.rfind(')') + 1));
  std::string Skipped;
  constexpr int FieldsBeforeUserTime = 11;
  for (int I = 0; I < FieldsBeforeUserTime; ++I)
    Fields >> Skipped;
  double UserTicks = 0;
  double SystemTicks = 0;
  Fields >> UserTicks >> SystemTicks;
  double Pages = 0;
  std::ifstream(Folder + "/statm") >> Skipped >> Pages;
  constexpr double BytesPerMb = 1024.0 * 1024.0;
  return {(UserTicks + SystemTicks) / static_cast<double>(sysconf(_SC_CLK_TCK)),
          Pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / BytesPerMb};
}

} // namespace geraniumpaddle::bench
