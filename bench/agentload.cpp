// Simulates agents: registers workers with an entry, sends heartbeats over one
// connection per agent, and reports the entry's processor and memory use.

#include "bench/processusage.h"
#include "peercodec/peercodec.h"
#include "transport/eventloop.h"
#include "transport/peerclient.h"
#include "transport/traffic.h"

#include <chrono>
#include <cstdio>
#include <gflags/gflags.h>
#include <memory>
#include <string>
#include <vector>

DEFINE_string(entry, "", "ip:port of the entry's peer interface");
DEFINE_int32(pid, 0, "process id of the entry");
DEFINE_uint32(agents, 50, "number of simulated agents");
DEFINE_uint32(settle_seconds, 5, "warm-up time before the measurement");
DEFINE_uint32(seconds, 20, "duration of the measurement");
DEFINE_string(region, "perth-metro", "region of the agents");

namespace geraniumpaddle {

namespace {

constexpr std::uint32_t WorkersPerRack = 3;

/// One agent with its own connection to the entry.
class simulated_agent {
public:
  simulated_agent(event_loop &Loop, traffic_counter &Traffic,
                  std::uint32_t Number)
      : Loop(Loop), Client(Loop, peer_client_settings{}, Traffic),
        Self{node_id("agent-" + std::to_string(Number)), incarnation{1}},
        Number(Number) {}

  void sendHeartbeat() {
    proto::PeerRequest Request = makeRequest(Self);
    proto::Heartbeat &Heartbeat = *Request.mutable_heartbeat();
    Heartbeat.set_endpoint_healthy(true);
    if (RegistrationWanted)
      fillRegistration(*Heartbeat.mutable_registration());
    Client.call(FLAGS_entry, Request, std::chrono::seconds(2),
                [this](const peer_result &Result) { onReply(Result); });
  }

  std::uint64_t heartbeats() const { return Heartbeats; }
  bool registered() const { return !RegistrationWanted; }

private:
  void fillRegistration(proto::WorkerRegistered &Out) const {
    Out.mutable_worker()->set_id("worker-" + std::to_string(Number));
    Out.mutable_worker()->set_region(FLAGS_region);
    Out.mutable_worker()->set_zone("zone-" + std::to_string(Number % 4));
    Out.mutable_worker()->set_rack("rack-" +
                                   std::to_string(Number / WorkersPerRack));
    proto::Resources &Capacity = *Out.mutable_worker()->mutable_capacity();
    Capacity.set_accelerators(8);
    Capacity.set_milli_cores(128000);
    Capacity.set_memory_mb(262144);
    Out.set_agent(Self.Node.str());
    Out.set_agent_incarnation(1);
    Out.set_peer_address("127.0.0.1:9");
    Out.set_service("bookdesk");
    Out.set_slots(8);
  }

  void onReply(const peer_result &Result) {
    duration Interval = std::chrono::seconds(1);
    if (Result.Status == call_status::Completed &&
        Result.Response.has_heartbeat()) {
      ++Heartbeats;
      RegistrationWanted = Result.Response.heartbeat().registration_wanted();
      Interval =
          std::chrono::milliseconds(Result.Response.heartbeat().interval_ms());
    }
    Loop.startTimer(Interval, [this] { sendHeartbeat(); });
  }

  event_loop &Loop;
  peer_client Client;
  const peer_identity Self;
  const std::uint32_t Number;
  bool RegistrationWanted = true;
  std::uint64_t Heartbeats = 0;
};

void runFor(event_loop &Loop, std::chrono::seconds Length) {
  auto End = std::chrono::steady_clock::now() + Length;
  while (std::chrono::steady_clock::now() < End)
    Loop.runOnce(std::chrono::milliseconds(50));
}

std::uint64_t
heartbeatsOf(const std::vector<std::unique_ptr<simulated_agent>> &Agents) {
  std::uint64_t Heartbeats = 0;
  for (const auto &Agent : Agents)
    Heartbeats += Agent->heartbeats();
  return Heartbeats;
}

std::uint64_t bytesOf(const traffic_counter &Traffic) {
  std::uint64_t Bytes = 0;
  for (const auto &[Key, Count] : Traffic.counts())
    Bytes += Count.BytesIn + Count.BytesOut;
  return Bytes;
}

int runLoad() {
  event_loop Loop;
  traffic_counter Traffic;
  std::vector<std::unique_ptr<simulated_agent>> Agents;
  for (std::uint32_t I = 0; I < FLAGS_agents; ++I) {
    Agents.push_back(std::make_unique<simulated_agent>(Loop, Traffic, I));
    Agents.back()->sendHeartbeat();
  }
  runFor(Loop, std::chrono::seconds(FLAGS_settle_seconds));
  bench::process_usage Before = bench::usageOf(FLAGS_pid);
  std::uint64_t HeartbeatsBefore = heartbeatsOf(Agents);
  std::uint64_t BytesBefore = bytesOf(Traffic);
  runFor(Loop, std::chrono::seconds(FLAGS_seconds));
  bench::process_usage After = bench::usageOf(FLAGS_pid);
  double Seconds = FLAGS_seconds;
  std::size_t Registered = 0;
  for (const auto &Agent : Agents)
    Registered += Agent->registered();
  std::printf(
      "agents %4u registered %4zu heartbeats/s %6.1f entry cpu %5.2f%% "
      "of a core, resident %5.1f MB, messages %7.0f bytes/s\n",
      FLAGS_agents, Registered,
      static_cast<double>(heartbeatsOf(Agents) - HeartbeatsBefore) / Seconds,
      100 * (After.CpuSeconds - Before.CpuSeconds) / Seconds, After.ResidentMb,
      static_cast<double>(bytesOf(Traffic) - BytesBefore) / Seconds);
  return 0;
}

} // namespace

} // namespace geraniumpaddle

int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  return geraniumpaddle::runLoad();
}
