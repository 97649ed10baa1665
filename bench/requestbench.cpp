// Load generator: sends requests to an entry, and the same requests directly to
// the endpoint as the baseline of the same run.

#include "transport/eventloop.h"
#include "transport/httpclient.h"
#include "transport/traffic.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <gflags/gflags.h>
#include <map>
#include <string>
#include <vector>

DEFINE_string(entry, "", "ip:port of an entry's HTTP interface");
DEFINE_string(endpoint, "", "ip:port of an endpoint, for the baseline");
DEFINE_string(customer, "swan-coast", "customer of the requests");
DEFINE_string(token, "", "token of the customer");
DEFINE_double(rate, 500, "requests per second, evenly spaced; 0: closed loop");
DEFINE_uint32(outstanding, 16, "concurrent requests in a closed loop");
DEFINE_uint32(seconds, 10, "duration of each phase");
DEFINE_uint32(bytes, 200, "size of each response in bytes");
DEFINE_uint32(ms, 0, "latency of the endpoint in ms");
DEFINE_uint32(timeout_ms, 2000, "timeout of each request");

namespace geraniumpaddle {

namespace {

using clock_type = std::chrono::steady_clock;

/// One phase of the run: all requests go to one address.
class load_phase {
public:
  load_phase(event_loop &Loop, http_client &Http, std::string Address,
             std::string Prefix)
      : Loop(Loop), Http(Http), Address(std::move(Address)),
        Target(std::move(Prefix) + "/x?ms=" + std::to_string(FLAGS_ms) +
               "&bytes=" + std::to_string(FLAGS_bytes)) {}

  void run() {
    Start = clock_type::now();
    auto End = Start + std::chrono::seconds(FLAGS_seconds);
    while (clock_type::now() < End) {
      sendDue();
      Loop.runOnce(std::chrono::milliseconds(1));
    }
    Elapsed = std::chrono::duration<double>(clock_type::now() - Start).count();
    while (Open > 0)
      Loop.runOnce(std::chrono::milliseconds(10));
    std::sort(LatencyMs.begin(), LatencyMs.end());
  }

  double quantile(double Share) const {
    if (LatencyMs.empty())
      return 0;
    auto Index = static_cast<std::size_t>(
        Share * static_cast<double>(LatencyMs.size() - 1));
    return LatencyMs[Index];
  }

  double goodput() const {
    return static_cast<double>(LatencyMs.size()) / Elapsed;
  }

  void print(const char *Name) const {
    std::printf("%-8s %8.0f answered/s  p50 %7.3f ms  p99 %7.3f ms", Name,
                goodput(), quantile(0.5), quantile(0.99));
    for (const auto &[Outcome, Count] : OtherOutcomes)
      std::printf("  %s %zu", Outcome.c_str(), Count);
    std::printf("\n");
  }

private:
  void sendDue() {
    if (FLAGS_rate <= 0) {
      while (Open < FLAGS_outstanding)
        sendRequest();
      return;
    }
    double ElapsedSeconds =
        std::chrono::duration<double>(clock_type::now() - Start).count();
    while (static_cast<double>(Sent) < ElapsedSeconds * FLAGS_rate)
      sendRequest();
  }

  void sendRequest() {
    ++Open;
    ++Sent;
    auto Begin = clock_type::now();
    Http.send({Address,
               "GET",
               Target,
               {{"Authorization", "Bearer " + FLAGS_token},
                {"X-Customer", FLAGS_customer}},
               "",
               std::chrono::milliseconds(FLAGS_timeout_ms)},
              [this, Begin](const http_result &Result) {
                --Open;
                count(Result, Begin);
              });
  }

  void count(const http_result &Result, clock_type::time_point Begin) {
    bool Complete = Result.ok() && Result.Body.size() >= FLAGS_bytes;
    if (!Complete) {
      ++OtherOutcomes[Result.Status == call_status::Completed
                          ? std::to_string(Result.Code)
                          : "unanswered"];
      return;
    }
    std::chrono::duration<double, std::milli> Latency =
        clock_type::now() - Begin;
    LatencyMs.push_back(Latency.count());
  }

  event_loop &Loop;
  http_client &Http;
  const std::string Address;
  const std::string Target;
  clock_type::time_point Start;
  double Elapsed = 1;
  std::size_t Open = 0;
  std::size_t Sent = 0;
  std::vector<double> LatencyMs;
  std::map<std::string, std::size_t> OtherOutcomes;
};

int runBench() {
  event_loop Loop;
  traffic_counter Traffic;
  http_client_limits Limits;
  Limits.MaxConnectionsPerAddress = 1800;
  Limits.MaxQueuedPerAddress = 65536;
  http_client Http(Loop, Limits, Traffic);
  std::printf("%.0f requests/s offered (0: closed loop of %u), answers of %u "
              "bytes, endpoint latency %u ms, %u s each\n",
              FLAGS_rate, FLAGS_outstanding, FLAGS_bytes, FLAGS_ms,
              FLAGS_seconds);
  load_phase Direct(Loop, Http, FLAGS_endpoint, "");
  if (!FLAGS_endpoint.empty()) {
    Direct.run();
    Direct.print("direct");
  }
  load_phase Entry(Loop, Http, FLAGS_entry, "/call/bookdesk");
  Entry.run();
  Entry.print("entry");
  if (!FLAGS_endpoint.empty())
    std::printf("added p50 %.3f ms, ratio of answered/s to direct %.2f\n",
                Entry.quantile(0.5) - Direct.quantile(0.5),
                Entry.goodput() / Direct.goodput());
  return 0;
}

} // namespace

} // namespace geraniumpaddle

int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  return geraniumpaddle::runBench();
}
