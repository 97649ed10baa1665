// Stand-in for workers of the platform in tests and the demo: simulates them
// all in one process.

#include "core/base/error.h"
#include "standins/standinmain.h"
#include "standins/taskworkers/workersimulationserver.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <sstream>

DEFINE_string(
    workers, "",
    "comma-separated NAME@RACK@IP:PORT with the address of the worker's agent");

namespace geraniumpaddle::standins {
namespace {

std::vector<simulated_worker_config> parseWorkers(const std::string &Text) {
  std::vector<simulated_worker_config> Configs;
  std::istringstream Stream(Text);
  std::string Item;
  while (std::getline(Stream, Item, ',')) {
    const std::size_t First = Item.find('@');
    const std::size_t Second = Item.find('@', First + 1);
    if (Second == std::string::npos)
      throw invalid_argument_error("--workers: expected NAME@RACK@IP:PORT: " +
                                   Item);
    Configs.push_back({Item.substr(0, First),
                       Item.substr(First + 1, Second - First - 1),
                       Item.substr(Second + 1)});
  }
  return Configs;
}

void run() {
  event_loop Loop;
  const std::vector<simulated_worker_config> Configs =
      parseWorkers(FLAGS_workers);
  worker_simulation_server Server(Loop, Configs);
  Loop.onSignal(SIGTERM, [&Loop] { Loop.stop(); });
  std::printf("serving %zu workers\n", Configs.size());
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
