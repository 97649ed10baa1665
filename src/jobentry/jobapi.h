#pragma once

#include "core/work/admissioncontrol.h"
#include "core/work/jobregistry.h"
#include "core/work/queuedirectory.h"
#include "jobentry/topicreader.h"
#include "logging/logging.h"
#include "metrics/metrics.h"
#include "platform/istore.h"
#include "transport/ieventloop.h"
#include "transport/ihttpserver.h"

#include <memory>
#include <optional>
#include <string>

namespace geraniumpaddle {

/// Serves the callers' interface: submits, shows, cancels and counts jobs.
///
/// A submission or cancellation is answered with success once it is in the log;
/// with a refusal only if it is certainly not there and never will be.
class job_api {
public:
  /// \param Recorded is told of each record once it is in the log.
  job_api(ievent_loop &Loop, istore &Store, topic_reader &Jobs,
          metric_registry &Metrics, const work::job_registry &Registry,
          const work::queue_directory &Queues,
          const work::admission_control &Admission,
          std::function<void(const keyed_record &)> Recorded);
  ~job_api() { *Alive = false; }
  job_api(const job_api &) = delete;
  job_api &operator=(const job_api &) = delete;

  void handle(const http_request_view &Request,
              const std::shared_ptr<ihttp_responder> &Responder);

private:
  struct job_call {
    std::shared_ptr<ihttp_responder> Responder;
    job_id Job;
    time_point Since{}; ///< its arrival
    time_point Until;   ///< then the caller is told what is known
    std::string Verb;   ///< for the log
    /// An append of it may have been stored without an answer.
    bool Uncertain = false;
    time_point RefusedSince{}; ///< by the store; 0: not yet
  };
  using call_handler = void (job_api::*)(job_call, const work::resolved_call &,
                                         const http_request_view &);
  struct route {
    std::string_view Method;
    call_handler Handler;
  };

  void submit(job_call Call, const work::resolved_call &Resolved,
              const http_request_view &Request);
  void show(job_call Call, const work::resolved_call &Resolved,
            const http_request_view &Request);
  void cancel(job_call Call, const work::resolved_call &Resolved,
              const http_request_view &Request);
  /// Calls \p Then once the job is known, or answers that it is not.
  void whenKnown(job_call Call, std::function<void(job_call)> Then);
  void store(job_call Call, append_call Append);
  void stored(job_call Call, append_call Append, const append_outcome &Outcome);
  void finish(const job_call &Call, http_response Response,
              std::string_view Reason);
  /// Longer, the longer the store has not stored anything.
  duration storeRetryAfter();
  time_point deadlineOf(const http_request_view &Request) const;

  ievent_loop &Loop;
  istore &Store;
  topic_reader &Jobs;
  metric_registry &Metrics;
  const work::job_registry &Registry;
  const work::queue_directory &Queues;
  const work::admission_control &Admission;
  const std::function<void(const keyed_record &)> Recorded;
  time_point StoreFailsSince{}; ///< 0: the last append was stored
  logger Log{"jobs"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
