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
  std::string Kind = "plain";
  std::string Agent; ///< ip:port of the agent that gets its heartbeats
  /// ip:port that the heartbeats name, if it isn't the worker's own.
  std::string Proxy;
};

/// Serves simulated workers over HTTP after the platform's published protocol
/// and sends their heartbeats. Payloads are JSON: {"ms": N, "needs": GPUs,
/// "gang": N, "fails": true}, where "gang" is the number of its members. With
/// "leaves": true the worker deregisters when the task ends, without answering
/// the listings that are open at that time. With "fail_runs": N the first N
/// runs fail, and "checkpointing": true saves progress. An array "steps" of
/// such objects overrides these fields for the tasks of each step.
///
/// The control interface takes POST /crash {"worker", "down_ms", "new_id"} and
/// answers GET /state with what the workers run and GET /started with the
/// failed runs of each task that has been started.
class worker_simulation_server {
public:
  worker_simulation_server(event_loop &Loop,
                           std::span<const simulated_worker_config> Configs);

  /// Port of the control interface.
  std::uint16_t controlPort() const { return Control->port(); }

private:
  using responder_ptr = std::shared_ptr<ihttp_responder>;
  struct open_listing {
    responder_ptr Responder;
    time_point Until{};
  };
  struct served_worker {
    simulated_worker_config Config;
    std::unique_ptr<http_server> Server; ///< none while the worker is down
    std::uint16_t Port = 0;
    std::uint64_t Sequence = 0;
    std::vector<open_listing> OpenListings;
    bool Deregistering = false;
    std::unique_ptr<timer> HeartbeatTimer;
  };

  static task_behaviour behaviour(const work::run_ref &Run,
                                  std::string_view Payload);
  void handleControl(const http_request_view &Request,
                     const responder_ptr &Responder);
  /// Ends the worker's process, which starts again after \p Down.
  /// \param NewId id of the next instance; empty: the same.
  void crash(served_worker &Worker, duration Down, const std::string &NewId);
  void listen(served_worker &Worker);
  std::string state() const;
  std::string startedTasks() const;
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
  std::unique_ptr<http_server> Control;
  timer TickTimer;
};

} // namespace geraniumpaddle::standins
