// Stand-in for the platform's log service in tests and the demo: keeps records
// in memory.

#include "core/base/error.h"
#include "logging/logging.h"
#include "standins/logservice/logserver.h"
#include "standins/portfile.h"
#include "standins/standinmain.h"
#include "transport/eventloop.h"

#include <gflags/gflags.h>

#include <csignal>

DEFINE_string(listen, "127.0.0.1:0",
              "ip:port to listen on; port 0 selects a free port");
DEFINE_string(port_file, "", "file that the port is written to");
DEFINE_uint64(retain_records, 1'000'000, "maximum number of retained records");
DEFINE_uint64(retain_seconds, 86'400, "maximum age of retained records");
DEFINE_uint32(max_appends_per_second, 300,
              "append rate; further appends are answered with 429");

namespace geraniumpaddle::standins {
namespace {

void run() {
  startLogging({});
  event_loop Loop;
  log_server Server(Loop, FLAGS_listen,
                    {.RetainRecords = FLAGS_retain_records,
                     .RetainTime = std::chrono::seconds(FLAGS_retain_seconds),
                     .MaxAppendsPerSecond = FLAGS_max_appends_per_second});
  Loop.onSignal(SIGTERM, [&Loop] { Loop.stop(); });
  Loop.onSignal(SIGINT, [&Loop] { Loop.stop(); });
  writePort(Server.port(), FLAGS_port_file);
  Loop.run();
}

} // namespace
} // namespace geraniumpaddle::standins

int main(int ArgumentCount, char **Arguments) {
  return geraniumpaddle::standins::runStandin(ArgumentCount, Arguments,
                                              "gp_standin_log",
                                              &geraniumpaddle::standins::run);
}
