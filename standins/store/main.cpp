// The platform's store for tests and the demo: keeps topics in memory.

#include "core/base/error.h"
#include "standins/portfile.h"
#include "standins/store/storeserver.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <exception>

DEFINE_string(listen, "127.0.0.1:0",
              "ip:port to serve on; port 0 takes a free one");
DEFINE_string(port_file, "", "file to write the port to");

namespace geraniumpaddle::standins {
namespace {

void run() {
  event_loop Loop;
  store_server Server(Loop, FLAGS_listen);
  Loop.onSignal(SIGTERM, [&Loop] { Loop.stop(); });
  writePort(Server.port(), FLAGS_port_file);
  Loop.run();
}

} // namespace
} // namespace geraniumpaddle::standins

int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  try {
    geraniumpaddle::standins::run();
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "gp_standin_store: %s\n", Failure.what());
    return 1;
  }
  return 0;
}
