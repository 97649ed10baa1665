// Stand-in for a worker in tests and the demo: simulates tasks under leases.

#include "core/base/error.h"
#include "standins/portfile.h"
#include "standins/standinmain.h"
#include "standins/worker/workerserver.h"

#include <event2/event.h>
#include <gflags/gflags.h>

#include <csignal>
#include <memory>

DEFINE_string(listen, "127.0.0.1:0",
              "ip:port to listen on; port 0 selects a free port");
DEFINE_string(port_file, "", "file that the port is written to");
DEFINE_string(worker, "w1", "name of the worker");
DEFINE_int32(accelerators, 8, "number of accelerators");
DEFINE_int64(milli_cores, 128000,
             "processor capacity in thousandths of a core");
DEFINE_int64(memory_mb, 262144, "memory in MB");

namespace geraniumpaddle::standins {
namespace {

constexpr int MaxAccelerators = 32; // bits of accelerator_mask

struct listen_address {
  std::string Ip;
  std::uint16_t Port = 0;
};

listen_address parseListen(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    throw invalid_argument_error("--listen: expected ip:port: " + Text);
  const int Port = std::atoi(Text.c_str() + Colon + 1);
  return {Text.substr(0, Colon), static_cast<std::uint16_t>(Port)};
}

void stopLoop(int, short, void *Base) {
  event_base_loopbreak(static_cast<event_base *>(Base));
}

void run() {
  if (FLAGS_accelerators < 0 || FLAGS_accelerators > MaxAccelerators)
    throw invalid_argument_error("--accelerators must be in 0..32");
  std::signal(SIGPIPE, SIG_IGN);
  const listen_address Listen = parseListen(FLAGS_listen);
  const std::unique_ptr<event_base, decltype(&event_base_free)> Base(
      event_base_new(), event_base_free);
  const std::unique_ptr<event, decltype(&event_free)> Terminate(
      evsignal_new(Base.get(), SIGTERM, stopLoop, Base.get()), event_free);
  evsignal_add(Terminate.get(), nullptr);
  worker_interface Interface(
      FLAGS_worker, {FLAGS_accelerators, FLAGS_milli_cores, FLAGS_memory_mb});
  worker_server Server(Base.get(), Listen.Ip, Listen.Port, Interface);
  writePort(Server.port(), FLAGS_port_file);
  event_base_dispatch(Base.get());
}

} // namespace
} // namespace geraniumpaddle::standins

int main(int ArgumentCount, char **Arguments) {
  return geraniumpaddle::standins::runStandin(ArgumentCount, Arguments,
                                              "gp_standin_worker",
                                              &geraniumpaddle::standins::run);
}
