// Stand-in for an endpoint in tests and the demo: echoes requests, up to its
// number of slots at once.

#include "core/base/error.h"
#include "standins/endpoint/endpointserver.h"
#include "standins/portfile.h"
#include "standins/standinmain.h"

#include <event2/event.h>
#include <gflags/gflags.h>

#include <csignal>
#include <memory>

DEFINE_string(listen, "127.0.0.1:0",
              "ip:port to listen on; port 0 selects a free port");
DEFINE_string(port_file, "", "file that the port is written to");
DEFINE_uint32(slots, 8,
              "concurrent requests; further ones are answered with 503");
DEFINE_uint32(max_connections, 64, "maximum number of open connections");
DEFINE_uint32(latency_ms, 10, "latency of a request without ?ms=N");

namespace geraniumpaddle::standins {
namespace {

void drainServer(int, short, void *Server) {
  static_cast<endpoint_server *>(Server)->drain();
}

void run() {
  std::signal(SIGPIPE, SIG_IGN);
  const std::unique_ptr<event_base, decltype(&event_base_free)> Base(
      event_base_new(), event_base_free);
  endpoint_model Model(FLAGS_slots);
  endpoint_server Server(Base.get(), FLAGS_listen, FLAGS_max_connections,
                         std::chrono::milliseconds(FLAGS_latency_ms), Model);
  const std::unique_ptr<event, decltype(&event_free)> Terminate(
      evsignal_new(Base.get(), SIGTERM, drainServer, &Server), event_free);
  evsignal_add(Terminate.get(), nullptr);
  writePort(Server.port(), FLAGS_port_file);
  event_base_dispatch(Base.get());
}

} // namespace
} // namespace geraniumpaddle::standins

int main(int ArgumentCount, char **Arguments) {
  return geraniumpaddle::standins::runStandin(ArgumentCount, Arguments,
                                              "gp_standin_endpoint",
                                              &geraniumpaddle::standins::run);
}
