#include "jobentry/jobapi.h"

#include "core/base/error.h"
#include "entry/httputil.h"
#include "platform/platformdecode.h"
#include "workcodec/workcodec.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace geraniumpaddle {

namespace {

constexpr int Success = 200;
constexpr int BadRequest = 400;
constexpr int Unauthorized = 401;
constexpr int NotFound = 404;
constexpr int MethodNotAllowed = 405;
constexpr int Gone = 410;
constexpr int TooManyRequests = 429;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;

/// Used for requests without a timeout header.
constexpr duration DefaultTimeout = std::chrono::seconds(3);
/// Share of the client's timeout that is spent on retries. The rest is left for
/// the client to receive the error and to retry.
constexpr double RetryTimeShare = 0.45;
/// After this time an append's answer counts as lost. The slowest answers of
/// the platform take about 400 ms.
constexpr duration AppendTimeout = std::chrono::milliseconds(600);
constexpr duration AppendRetryDelay = std::chrono::milliseconds(40);
/// How long an append that the store refuses is retried before the client gets
/// an error.
constexpr duration MaxRefusedTime = std::chrono::milliseconds(400);
/// Retry-After of errors of the store, whose outages take seconds.
constexpr duration StoreRetryAfter = std::chrono::seconds(2);
constexpr duration MaxStoreRetryAfter = std::chrono::seconds(4);
/// Number of hexadecimal digits of a job id.
constexpr std::size_t JobIdDigits = 16;

bool isJobId(std::string_view Text) {
  return Text.size() == JobIdDigits &&
         std::all_of(Text.begin(), Text.end(), [](char C) {
           return std::isxdigit(static_cast<unsigned char>(C)) != 0;
         });
}

/// The Host header without the port, in lower case.
std::string hostOf(const http_request_view &Request) {
  std::string_view Host = headerValue(Request.Headers, "Host");
  Host = Host.substr(0, Host.find(':'));
  std::string Lower(Host);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(), [](char C) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  });
  return Lower;
}

http_response refusalFor(work::call_verdict Verdict) {
  switch (Verdict) {
  case work::call_verdict::NoConfiguration:
    return encodeError(Unavailable, "not_ready", "no configuration is known",
                       StoreRetryAfter);
  case work::call_verdict::NoQueue:
    return encodeError(NotFound, "no_queue", "no queue has this address");
  case work::call_verdict::UnknownKey:
  case work::call_verdict::Allowed:
    break;
  }
  return encodeError(Unauthorized, "unknown_key", "the key is not known");
}

} // namespace

job_api::job_api(ievent_loop &Loop, istore &Store, topic_reader &Jobs,
                 metric_registry &Metrics, const work::job_registry &Registry,
                 const work::queue_directory &Queues,
                 const work::admission_control &Admission,
                 std::function<void(const keyed_record &)> OnStored)
    : Loop(Loop), Store(Store), Jobs(Jobs), Metrics(Metrics),
      Registry(Registry), Queues(Queues), Admission(Admission),
      OnStored(std::move(OnStored)) {}

time_point job_api::deadlineOf(const http_request_view &Request) const {
  const duration Timeout = decodeTimeout(
      headerValue(Request.Headers, TimeoutHeader), DefaultTimeout);
  return Loop.now() +
         std::chrono::duration_cast<duration>(Timeout * RetryTimeShare);
}

void job_api::handle(const http_request_view &Request,
                     const std::shared_ptr<ihttp_responder> &Responder) {
  static constexpr auto Routes =
      std::to_array<route>({{"POST", &job_api::submit},
                            {"GET", &job_api::getState},
                            {"DELETE", &job_api::cancel}});
  const work::resolved_call Resolved = Queues.resolve(
      hostOf(Request), Request.Path, bearerToken(Request.Headers));
  job_call Call{.Responder = Responder,
                .ReceivedAt = Loop.now(),
                .Deadline = deadlineOf(Request),
                .Method = std::string(Request.Method)};
  if (Resolved.Verdict != work::call_verdict::Allowed) {
    respond(Call, refusalFor(Resolved.Verdict), "not_admitted");
    return;
  }
  if (Resolved.SubPath.empty() && Request.Method == "GET") {
    respond(Call, encodePending(Registry.pending(Resolved.Route->Policy.Queue)),
            "counted");
    return;
  }
  if (!isJobId(Resolved.SubPath)) {
    respond(Call,
            encodeError(NotFound, "no_job_id",
                        "a job id has 16 hexadecimal digits"),
            "no_job_id");
    return;
  }
  Call.Job = job_id(Resolved.SubPath);
  const auto *const Found =
      std::find_if(Routes.begin(), Routes.end(), [&](const route &Candidate) {
        return Candidate.Method == Request.Method;
      });
  if (Found == Routes.end())
    respond(Call,
            encodeError(MethodNotAllowed, "method",
                        "jobs take POST, GET and DELETE"),
            "method");
  else
    (this->*Found->Handler)(std::move(Call), Resolved, Request);
}

void job_api::respond(const job_call &Call, http_response Response,
                      std::string_view Reason) {
  Metrics
      .getCounter(
          "geraniumpaddle_job_calls", "Answers to callers of jobs.",
          {{"method", Call.Method}, {"code", std::to_string(Response.Code)}})
      .add();
  Metrics
      .getHistogram("geraniumpaddle_job_call_seconds",
                    "From a call's arrival to its answer.", latencyBounds(),
                    {{"method", Call.Method}})
      .observe(
          std::chrono::duration<double>(Loop.now() - Call.ReceivedAt).count());
  // Successful queries are frequent and change nothing.
  if (Call.Method != "GET" || Response.Code != Success)
    Log.event("job_call", {{"method", Call.Method},
                           {"job", Call.Job.view()},
                           {"code", Response.Code},
                           {"reason", Reason},
                           {"config", Queues.version()}});
  Call.Responder->respond(std::move(Response));
}

void job_api::submit(job_call Call, const work::resolved_call &Resolved,
                     const http_request_view &Request) {
  if (Registry.find(Call.Job)) {
    respond(Call, encodeEmpty(Success), "known");
    return;
  }
  work::job_submitted Record;
  try {
    Record.Spec = decodeJob(Request.Body);
  } catch (const malformed_message_error &Problem) {
    respond(Call, encodeError(BadRequest, "malformed", Problem.what()),
            Problem.what());
    return;
  }
  if (work::hasMoreTasksThan(Record.Spec, work::MaxTasks)) {
    respond(
        Call,
        encodeError(BadRequest, "too_large", "a job has at most 4096 tasks"),
        "too_large");
    return;
  }
  Record.Spec.Id = Call.Job;
  Record.Spec.Customer = Resolved.Customer;
  Record.Spec.Policy = Resolved.Route->Policy;
  Record.Spec.SubmittedAt = Loop.wallNow();
  if (const auto RetryAfter = Admission.retryAfter(Record.Spec, Loop.now())) {
    Log.event("job_rejected",
              {{"job", Call.Job.view()},
               {"priority", Record.Spec.Policy.Priority},
               {"retry_after_ms", millisecondsOf(*RetryAfter)}});
    respond(Call,
            encodeError(TooManyRequests, "queue_full",
                        "too much is ahead of it for it to be done in time",
                        *RetryAfter),
            "queue_full");
    return;
  }
  const std::string Key = work::submissionKey(Call.Job);
  appendRecord(std::move(Call),
               {.Topic = store_topic::Jobs,
                .Records = {{Key, work::encodeRecord(std::move(Record))}}});
}

void job_api::getState(job_call Call, const work::resolved_call &,
                       const http_request_view &) {
  lookUp(
      std::move(Call),
      [this](const job_call &Known) {
        respond(Known, encodeJobState(Registry.find(Known.Job)->state()),
                "shown");
      },
      [this](const job_call &Unknown) {
        respondUnknown(Unknown, "unknown_job");
      });
}

void job_api::cancel(job_call Call, const work::resolved_call &,
                     const http_request_view &) {
  lookUp(
      std::move(Call),
      [this](job_call Known) { cancelKnown(std::move(Known)); },
      [this](job_call Unknown) { cancelUnknown(std::move(Unknown)); });
}

void job_api::cancelKnown(job_call Call) {
  const work::registered_job *Entry = Registry.find(Call.Job);
  if (Entry->Cancelled || ended(Entry->Progress.State))
    respond(Call, encodeEmpty(Success), "ended_before");
  else
    appendCancellation(std::move(Call));
}

/// A submission may still be on its way to the log: its append may have had no
/// answer, or its entry may be paused. The cancellation is recorded first, so
/// that the job does not run whichever of the two the log has first.
void job_api::cancelUnknown(job_call Call) {
  if (Registry.isCancelled(Call.Job)) {
    respondUnknown(Call, "cancelled_before");
    return;
  }
  if (!Registry.acceptsUnknownCancellation()) {
    respond(Call,
            encodeError(TooManyRequests, "too_many_unknown_jobs",
                        "too many unknown jobs were cancelled lately",
                        StoreRetryAfter),
            "too_many_unknown_jobs");
    return;
  }
  Call.CancelsUnknown = true;
  appendCancellation(std::move(Call));
}

void job_api::appendCancellation(job_call Call) {
  const std::string Key = work::cancellationKey(Call.Job);
  const work::job_cancelled Record{Call.Job, Loop.wallNow()};
  appendRecord(std::move(Call),
               {.Topic = store_topic::Jobs,
                .Records = {{Key, work::encodeRecord(Record)}}});
}

void job_api::respondUnknown(const job_call &Call, std::string_view Reason) {
  respond(Call, encodeError(Gone, "no_job", "no such job is known"), Reason);
}

void job_api::lookUp(job_call Call, std::function<void(job_call)> OnFound,
                     std::function<void(job_call)> OnUnknown) {
  if (Registry.find(Call.Job)) {
    OnFound(std::move(Call));
    return;
  }
  const duration Timeout = Call.Deadline - Loop.now();
  Jobs.catchUp(Timeout, [this, Alive = Alive, Call = std::move(Call),
                         OnFound = std::move(OnFound),
                         OnUnknown = std::move(OnUnknown)](bool CaughtUp) {
    if (!*Alive)
      return;
    if (Registry.find(Call.Job))
      OnFound(Call);
    else if (CaughtUp)
      OnUnknown(Call);
    else
      respond(Call,
              encodeError(Unavailable, "store_unavailable",
                          "the job cannot be looked up now", StoreRetryAfter),
              "store_unavailable");
  });
}

duration job_api::storeRetryAfter() {
  const duration FailingFor = Loop.now() - StoreFailingSince;
  return std::clamp(StoreRetryAfter + FailingFor, StoreRetryAfter,
                    MaxStoreRetryAfter);
}

void job_api::appendRecord(job_call Call, append_call Append) {
  const duration Left = Call.Deadline - Loop.now();
  Append.Timeout = std::min(AppendTimeout, Left);
  const append_call Sent = Append;
  Store.append(Sent, [this, Alive = Alive, Call = std::move(Call),
                      Append = std::move(Append)](
                         const append_outcome &Outcome) mutable {
    if (*Alive)
      onAppended(std::move(Call), std::move(Append), Outcome);
  });
}

void job_api::onAppended(job_call Call, append_call Append,
                         const append_outcome &Outcome) {
  if (Outcome.Status == store_append_status::Stored) {
    StoreFailingSince = {};
    if (Call.CancelsUnknown)
      respondUnknown(Call, "cancelled_unknown");
    else
      respond(Call, encodeEmpty(Success), "stored");
    const keyed_value &Stored = Append.Records.front();
    OnStored(
        {.Key = Stored.Key, .Value = Stored.Value, .Offset = Outcome.Offset});
    return;
  }
  Call.MaybeStored |= Outcome.Status == store_append_status::Unknown;
  if (Call.RefusedSince == time_point{})
    Call.RefusedSince = Loop.now();
  if (StoreFailingSince == time_point{})
    StoreFailingSince = Loop.now();
  const bool GiveUp = Loop.now() + AppendRetryDelay >= Call.Deadline;
  if (!Call.MaybeStored &&
      (GiveUp || Loop.now() - Call.RefusedSince >= MaxRefusedTime)) {
    respond(Call,
            encodeError(Unavailable, "store_unavailable", "it was not recorded",
                        storeRetryAfter()),
            "store_refused");
    return;
  }
  if (GiveUp) {
    respond(Call,
            encodeError(GatewayTimeout, "undetermined",
                        "it may or may not have been recorded",
                        storeRetryAfter()),
            "undetermined");
    return;
  }
  // Appending is idempotent: the repeated record replaces an equal one with the
  // same key.
  Loop.startTimer(AppendRetryDelay,
                  [this, Alive = Alive, Call = std::move(Call),
                   Append = std::move(Append)]() mutable {
                    if (*Alive)
                      appendRecord(std::move(Call), std::move(Append));
                  });
}

} // namespace geraniumpaddle
