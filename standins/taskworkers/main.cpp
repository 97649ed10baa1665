// Workers of the platform for tests and the demo, all in one process.

#include "core/base/error.h"
#include "standins/standinmain.h"
#include "standins/taskworkers/workersimulationserver.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <sstream>

DEFINE_string(workers, "",
              "comma-separated NAME@RACK@IP:PORT, where the address is that "
              "of the worker's agent");

namespace geraniumpaddle::standins {
namespace {

std::vector<field_plan> parsePlans(const std::string &Text) {
  std::vector<field_plan> Plans;
  std::istringstream Stream(Text);
  std::string Item;
  while (std::getline(Stream, Item, ',')) {
    const std::size_t First = Item.find('@');
    const std::size_t Second = Item.find('@', First + 1);
    if (Second == std::string::npos)
      throw invalid_argument_error("--workers: no NAME@RACK@ADDRESS: " + Item);
    Plans.push_back({Item.substr(0, First),
                     Item.substr(First + 1, Second - First - 1),
                     Item.substr(Second + 1)});
  }
  return Plans;
}

void run() {
  event_loop Loop;
  const std::vector<field_plan> Plans = parsePlans(FLAGS_workers);
  field_server Server(Loop, Plans);
  Loop.onSignal(SIGTERM, [&Loop] { Loop.stop(); });
  std::printf("serving %zu workers\n", Plans.size());
  std::fflush(stdout);
  Loop.run();
}

} // namespace
} // namespace geraniumpaddle::standins

int main(int ArgumentCount, char **Arguments) {
  return geraniumpaddle::standins::runStandin(ArgumentCount, Arguments,
                                              "gp_standin_taskworkers",
                                              &geraniumpaddle::standins::run);
}
