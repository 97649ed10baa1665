#pragma once

#include "standins/taskworkers/workersimulation.h"
#include "transport/eventloop.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/timer.h"
#include "transport/traffic.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace geraniumpaddle::standins {

/// Configuration of one simulated worker.
struct simulated_worker_config {
  std::string Name;
  std::string Rack;
  std::string Agent; ///< ip:port of the agent that gets its heartbeats
};

/// Serves simulated workers over HTTP after the platform's published protocol
/// and sends their heartbeats. Payloads are JSON: {"ms": N, "needs": GPUs,
/// "gang": N, "fails": true}, where "gang" is the number of its members. With
/// "leaves": true the worker deregisters when the task ends, without answering
/// the listings that are open at that time.
class worker_simulation_server {
public:
  worker_simulation_server(event_loop &Loop,
                           std::span<const simulated_worker_config> Configs);

private:
  using responder_ptr = std::shared_ptr<ihttp_responder>;
  struct open_listing {
    responder_ptr Responder;
    time_point Until{};
  };
  struct served_worker {
    simulated_worker_config Config;
    std::unique_ptr<http_server> Server;
    std::uint64_t Sequence = 0;
    std::vector<open_listing> OpenListings;
    bool Deregistering = false;
  };

  static task_behaviour behaviour(const work::run_ref &Run,
                                  std::string_view Payload);
  void handle(served_worker &Worker, const http_request_view &Request,
              const responder_ptr &Responder);
  void sendListing(const served_worker &Worker, ihttp_responder &Responder);
  void sendHeartbeat(served_worker &Worker);
  void deregister(served_worker &Worker);
  void tick();

  event_loop &Loop;
  traffic_counter Traffic;
  http_client Http;
  worker_simulation SimulatedWorkers;
  std::size_t ReportedViolations = 0; ///< number of violations printed so far
  std::vector<std::unique_ptr<served_worker>> Workers;
  timer TickTimer;
  timer HeartbeatTimer;
};

} // namespace geraniumpaddle::standins
