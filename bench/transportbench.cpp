// Measures calls between a client and a server on one event loop, over gRPC and
// over HTTP, and the cost of an idle process.

#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/peerclient.h"
#include "transport/peerserver.h"

#include <gflags/gflags.h>

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <vector>

DEFINE_uint32(calls, 20'000, "calls per protocol");
DEFINE_uint32(outstanding, 8, "calls in flight");
DEFINE_uint32(bytes, 200, "size of a body in bytes");
DEFINE_uint32(idle_seconds, 5, "duration of the idle measurement");

namespace geraniumpaddle {
namespace {

using clock = std::chrono::steady_clock;
using call_function = std::function<void(std::function<void(bool)>)>;

struct call_statistics {
  double CallsPerSecond = 0;
  double MedianMs = 0;
  double P99Ms = 0;
  std::size_t Failed = 0;
};

/// Keeps a number of calls in flight until all calls are done.
class call_driver {
public:
  call_driver(event_loop &Loop, call_function Call)
      : Loop(Loop), Call(std::move(Call)) {}

  call_statistics run() {
    const auto Start = clock::now();
    for (std::uint32_t Index = 0; Index < FLAGS_outstanding; ++Index) {
      startCall();
    }
    while (LatenciesMs.size() < FLAGS_calls) {
      Loop.runOnce(std::chrono::seconds(1));
    }
    const std::chrono::duration<double> Elapsed = clock::now() - Start;
    std::sort(LatenciesMs.begin(), LatenciesMs.end());
    return {FLAGS_calls / Elapsed.count(), quantile(0.5), quantile(0.99),
            Failed};
  }

private:
  void startCall() {
    if (Started == FLAGS_calls) {
      return;
    }
    ++Started;
    Call([this, Start = clock::now()](bool Ok) {
      const std::chrono::duration<double, std::milli> Latency =
          clock::now() - Start;
      LatenciesMs.push_back(Latency.count());
      Failed += Ok ? 0 : 1;
      startCall();
    });
  }

  double quantile(double Share) const {
    const auto Last = static_cast<double>(LatenciesMs.size() - 1);
    return LatenciesMs[static_cast<std::size_t>(Share * Last)];
  }

  event_loop &Loop;
  call_function Call;
  std::vector<double> LatenciesMs;
  std::uint32_t Started = 0;
  std::size_t Failed = 0;
};

double processorSeconds() {
  rusage Usage{};
  ::getrusage(RUSAGE_SELF, &Usage);
  const auto Seconds = [](const timeval &Time) {
    return static_cast<double>(Time.tv_sec) +
           static_cast<double>(Time.tv_usec) / 1e6;
  };
  return Seconds(Usage.ru_utime) + Seconds(Usage.ru_stime);
}

double residentMb() {
  std::size_t Total = 0;
  std::size_t Resident = 0;
  std::ifstream("/proc/self/statm") >> Total >> Resident;
  return static_cast<double>(Resident) *
         static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

void print(const char *Name, const call_statistics &Statistics) {
  std::printf("%s: %.0f calls/s, p50 %.3f ms, p99 %.3f ms, %zu failed\n", Name,
              Statistics.CallsPerSecond, Statistics.MedianMs, Statistics.P99Ms,
              Statistics.Failed);
}

/// Client and echo server of both protocols.
class echo_pair {
public:
  explicit echo_pair(event_loop &Loop)
      : PeerServer(
            Loop, "127.0.0.1:0", {},
            [](const proto::PeerRequest &Request,
               const peer_responder &Respond) {
              proto::PeerResponse Response;
              Response.mutable_attempt()->mutable_answer()->set_body(
                  Request.deliver().body());
              Respond(Response);
            },
            Traffic),
        PeerClient(Loop, {}, Traffic),
        HttpServer(Loop, "127.0.0.1:0", {},
                   [](const http_request_view &Request,
                      const std::shared_ptr<ihttp_responder> &Responder) {
                     Responder->respond(
                         {.Code = 200, .Body = std::string(Request.Body)});
                   }),
        HttpClient(Loop, {}, Traffic) {}

  void callPeer(const std::function<void(bool)> &Done) {
    proto::PeerRequest Request;
    Request.mutable_deliver()->set_body(Body);
    PeerClient.call("127.0.0.1:" + std::to_string(PeerServer.port()), Request,
                    CallTimeout, [Done](const peer_result &Result) {
                      Done(Result.Status == call_status::Completed);
                    });
  }

  void callHttp(const std::function<void(bool)> &Done) {
    http_call Call;
    Call.Address = "127.0.0.1:" + std::to_string(HttpServer.port());
    Call.Method = "POST";
    Call.Target = "/";
    Call.Body = Body;
    Call.Timeout = CallTimeout;
    Call.Reuse = connection_reuse::Always;
    HttpClient.send(std::move(Call),
                    [Done](const http_result &Result) { Done(Result.ok()); });
  }

private:
  static constexpr std::chrono::seconds CallTimeout{10};

  std::string Body = std::string(FLAGS_bytes, 'x');
  traffic_counter Traffic;
  peer_server PeerServer;
  peer_client PeerClient;
  http_server HttpServer;
  http_client HttpClient;
};

void run() {
  event_loop Loop;
  echo_pair Pair(Loop);
  const auto Peer =
      call_driver(Loop, [&](const auto &Done) { Pair.callPeer(Done); }).run();
  const auto Http =
      call_driver(Loop, [&](const auto &Done) { Pair.callHttp(Done); }).run();
  print("peer", Peer);
  print("http", Http);
  std::printf("http/peer: %.2f\n", Http.CallsPerSecond / Peer.CallsPerSecond);
  const double Before = processorSeconds();
  Loop.startTimer(std::chrono::seconds(FLAGS_idle_seconds),
                  [&Loop] { Loop.stop(); });
  Loop.run();
  std::printf("idle: %.3f%% of a core, %.1f MB resident\n",
              100 * (processorSeconds() - Before) / FLAGS_idle_seconds,
              residentMb());
}

} // namespace
} // namespace geraniumpaddle

int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  try {
    geraniumpaddle::run();
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "transportbench: %s\n", Failure.what());
    return 1;
  }
  return 0;
}
