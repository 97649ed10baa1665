// Stand-in for the platform's store in tests and the demo: keeps topics in
// memory.

#include "core/base/error.h"
#include "standins/portfile.h"
#include "standins/standinmain.h"
#include "standins/store/storeserver.h"

#include <gflags/gflags.h>

#include <csignal>

DEFINE_string(listen, "127.0.0.1:0",
              "ip:port to listen on; port 0 selects a free port");
DEFINE_string(port_file, "", "file that the port is written to");

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
