// Stand-in for workers of the platform in tests and the demo: simulates them
// all in one process.

#include "core/base/error.h"
#include "standins/portfile.h"
#include "standins/standinmain.h"
#include "standins/taskworkers/workersimulationserver.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <sstream>

DEFINE_string(
    workers, "",
    "comma-separated NAME@RACK@KIND@IP:PORT@PROXY with the address of the "
    "worker's agent and, if there is one, of a proxy to the worker");
DEFINE_string(port_file, "", "file that the control port is written to");

namespace geraniumpaddle::standins {
namespace {

std::vector<simulated_worker_config> parseWorkers(const std::string &Text) {
  std::vector<simulated_worker_config> Configs;
  std::istringstream Stream(Text);
  std::string Item;
  while (std::getline(Stream, Item, ',')) {
    std::vector<std::string> Fields;
    std::istringstream FieldStream(Item);
    for (std::string Field; std::getline(FieldStream, Field, '@');)
      Fields.push_back(Field);
    constexpr std::size_t RequiredFields = 4;
    if (Fields.size() < RequiredFields)
      throw invalid_argument_error(
          "--workers: expected NAME@RACK@KIND@IP:PORT: " + Item);
    Fields.resize(RequiredFields + 1);
    Configs.push_back({.Name = Fields[0],
                       .Rack = Fields[1],
                       .Kind = Fields[2],
                       .Agent = Fields[3],
                       .Proxy = Fields[4]});
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
  writePort(Server.controlPort(), FLAGS_port_file);
  Loop.run();
}

} // namespace
} // namespace geraniumpaddle::standins

int main(int ArgumentCount, char **Arguments) {
  return geraniumpaddle::standins::runStandin(ArgumentCount, Arguments,
                                              "gp_standin_taskworkers",
                                              &geraniumpaddle::standins::run);
}
