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

/// HTTP interface for clients: submits, cancels and counts jobs and returns
/// their state.
///
/// A submission or cancellation succeeds once its record is in the log. It is
/// refused only if the record is not in the log and cannot get there later; if
/// that is not known, the outcome is reported as undetermined.
class job_api {
public:
  /// \param OnStored called with each record once it is in the log.
  job_api(ievent_loop &Loop, istore &Store, topic_reader &Jobs,
          metric_registry &Metrics, const work::job_registry &Registry,
          const work::queue_directory &Queues,
          const work::admission_control &Admission,
          std::function<void(const keyed_record &)> OnStored);
  ~job_api() { *Alive = false; }
  job_api(const job_api &) = delete;
  job_api &operator=(const job_api &) = delete;

  void handle(const http_request_view &Request,
              const std::shared_ptr<ihttp_responder> &Responder);

private:
  struct job_call {
    std::shared_ptr<ihttp_responder> Responder;
    job_id Job;
    time_point ReceivedAt{};
    time_point Deadline; ///< the client gets an answer by then
    std::string Method;  ///< for logs and metrics
    /// An append whose answer was lost may have been stored.
    bool MaybeStored = false;
    /// Cancels a job that is not in the log, so that it does not run if its
    /// submission is stored later.
    bool CancelsUnknown = false;
    time_point RefusedSince{}; ///< first failed append; 0: none
  };
  using call_handler = void (job_api::*)(job_call, const work::resolved_call &,
                                         const http_request_view &);
  struct route {
    std::string_view Method;
    call_handler Handler;
  };

  void submit(job_call Call, const work::resolved_call &Resolved,
              const http_request_view &Request);
  void getState(job_call Call, const work::resolved_call &Resolved,
                const http_request_view &Request);
  void cancel(job_call Call, const work::resolved_call &Resolved,
              const http_request_view &Request);
  /// Calls \p OnFound if the job is known, after reading the rest of the log if
  /// necessary, and \p OnUnknown if the log does not have it. Answers with an
  /// error if that cannot be found out.
  void lookUp(job_call Call, std::function<void(job_call)> OnFound,
              std::function<void(job_call)> OnUnknown);
  void cancelKnown(job_call Call);
  void cancelUnknown(job_call Call);
  void appendCancellation(job_call Call);
  void respondUnknown(const job_call &Call, std::string_view Reason);
  void appendRecord(job_call Call, append_call Append);
  void onAppended(job_call Call, append_call Append,
                  const append_outcome &Outcome);
  void respond(const job_call &Call, http_response Response,
               std::string_view Reason);
  /// Grows with the time since appends to the store started to fail.
  duration storeRetryAfter();
  time_point deadlineOf(const http_request_view &Request) const;

  ievent_loop &Loop;
  istore &Store;
  topic_reader &Jobs;
  metric_registry &Metrics;
  const work::job_registry &Registry;
  const work::queue_directory &Queues;
  const work::admission_control &Admission;
  const std::function<void(const keyed_record &)> OnStored;
  time_point StoreFailingSince{}; ///< 0: the last append succeeded
  logger Log{"jobs"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
