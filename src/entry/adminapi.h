#pragma once

#include "entry/agentdirectory.h"
#include "entry/customerauth.h"
#include "entry/iproposer.h"
#include "entry/schedulerdriver.h"
#include "transport/ieventloop.h"
#include "transport/ihttpserver.h"

#include "api.pb.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpaddle {

/// The HTTP interface of operators and of customers who submit jobs, under
/// /v1/. docs/INTERFACES.md describes each call.
class admin_api {
public:
  /// \param Status returns the status of the entry as a whole.
  admin_api(ievent_loop &Loop, iproposer &Log, customer_auth &Auth,
            const agent_directory &Agents, const scheduler_driver &Scheduler,
            duration AppendDeadline,
            std::function<proto::EntryStatus()> Status);
  ~admin_api() { *Alive = false; }
  admin_api(const admin_api &) = delete;
  admin_api &operator=(const admin_api &) = delete;

  /// Handles a request whose path begins with /v1/.
  void handle(const http_request_view &Request,
              const std::shared_ptr<ihttp_responder> &Responder);

private:
  /// One call while it is being handled.
  struct call {
    const http_request_view &Request;
    std::shared_ptr<ihttp_responder> Responder;
    caller_identity Caller;
    std::string Name; ///< the part of the path that a pattern's star stands for
  };
  struct route;

  static std::span<const route> routes();

  void getCustomers(const call &Call);
  void putCustomers(const call &Call);
  void submitJob(const call &Call);
  void listJobs(const call &Call);
  void getJob(const call &Call);
  void cancelJob(const call &Call);
  void listWorkers(const call &Call);
  void changeWorker(const call &Call);
  void getAudit(const call &Call);
  void getStatus(const call &Call);

  caller_identity identify(const http_request_view &Request);
  const job_entry *visibleJob(const call &Call) const;
  proto::JobStatus statusOfJob(const job_entry &Job) const;
  std::string explain(const job_entry &Job) const;
  proto::WorkerStatus statusOfWorker(const worker_entry &Worker) const;
  actor_id actorOf(const call &Call) const;
  void
  propose(const call &Call, record_body Body,
          std::function<http_response(const proposal_answered &)> MakeResponse);

  ievent_loop &Loop;
  iproposer &Log;
  customer_auth &Auth;
  const agent_directory &Agents;
  const scheduler_driver &Scheduler;
  const duration AppendDeadline;
  std::function<proto::EntryStatus()> Status;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
