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

/// One worker of the field: its name, its rack and its agent.
struct field_plan {
  std::string Name;
  std::string Rack;
  std::string Agent; ///< ip:port that takes its heartbeats
};

/// Serves the workers of a field over HTTP as the platform's pages tell, and
/// sends their heartbeats. Payloads are JSON: {"ms": N, "needs": GPUs,
/// "gang": N, "fails": true}, where "gang" is the number of its members. With
/// "leaves": true the worker leaves as the task ends, and does not answer the
/// listings that are open then.
class field_server {
public:
  field_server(event_loop &Loop, std::span<const field_plan> Workers);

private:
  using responder_ptr = std::shared_ptr<ihttp_responder>;
  struct open_listing {
    responder_ptr Responder;
    time_point Until{};
  };
  struct served_worker {
    field_plan Plan;
    std::unique_ptr<http_server> Server;
    std::uint64_t Sequence = 0;
    std::vector<open_listing> Open;
    bool Leaving = false;
  };

  static task_behaviour behaviour(const work::run_ref &Run,
                                  std::string_view Payload);
  void handle(served_worker &Worker, const http_request_view &Request,
              const responder_ptr &Responder);
  void answerListing(const served_worker &Worker, ihttp_responder &Responder);
  void beat(served_worker &Worker);
  void leave(served_worker &Worker);
  void tick();

  event_loop &Loop;
  traffic_counter Traffic;
  http_client Http;
  worker_simulation SimulatedWorkers;
  std::size_t Told = 0; ///< violations that were printed
  std::vector<std::unique_ptr<served_worker>> Workers;
  timer Tick;
  timer Beat;
};

} // namespace geraniumpaddle::standins
