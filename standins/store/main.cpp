// The platform's store for tests and the demo: keeps topics in memory.

#include "core/base/error.h"
#include "standins/portfile.h"
#include "standins/standinmain.h"
#include "standins/store/storeserver.h"

#include <gflags/gflags.h>

#include <csignal>

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
  return geraniumpaddle::standins::runStandin(ArgumentCount, Arguments,
                                              "gp_standin_store",
                                              &geraniumpaddle::standins::run);
}
