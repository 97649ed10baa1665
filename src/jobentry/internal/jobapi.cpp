#include "jobentry/jobapi.h"

#include "core/base/error.h"
#include "entry/httputil.h"
#include "platform/platformdecode.h"
#include "workcodec/workcodec.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <utility>

namespace geraniumpaddle {

namespace {

constexpr int Success = 200;
constexpr int BadRequest = 400;
constexpr int Unauthorized = 401;
constexpr int NotFound = 404;
constexpr int MethodNotAllowed = 405;
constexpr int Gone = 410;
constexpr int TooManyJobs = 429;
constexpr int Unavailable = 503;
constexpr int Undetermined = 504;

/// Used for callers that do not say how long they wait.
constexpr duration DefaultTimeout = std::chrono::seconds(3);
/// Share of the time that a caller waits after which it is told that nothing
/// came of its call, so that it can come back.
constexpr double GiveUpShare = 0.45;
/// Limit of one append; a lost answer is found out by then. The platform's
/// slowest answers take about 400 ms.
constexpr duration AppendTimeout = std::chrono::milliseconds(600);
constexpr duration AppendRetryDelay = std::chrono::milliseconds(40);
/// A store that refuses is asked for this long before the caller is told.
constexpr duration RefusedFor = std::chrono::milliseconds(400);
/// An outage of the store takes seconds; callers come back after these times.
constexpr duration StoreRetryAfter = std::chrono::seconds(2);
constexpr duration MaxStoreRetryAfter = std::chrono::seconds(4);
/// A job id is this many hexadecimal digits.
constexpr std::size_t JobIdDigits = 16;
/// Tasks of one job, over all its occurrences. Bounds the size of its record.
constexpr std::uint64_t MaxTasks = 4096;

bool isJobId(std::string_view Text) {
  return Text.size() == JobIdDigits &&
         std::all_of(Text.begin(), Text.end(), [](char C) {
           return std::isxdigit(static_cast<unsigned char>(C)) != 0;
         });
}

/// The host that a call names, without a port, in lower case.
std::string hostOf(const http_request_view &Request) {
  std::string_view Host = headerValue(Request.Headers, "Host");
  Host = Host.substr(0, Host.find(':'));
  std::string Lower(Host);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(), [](char C) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  });
  return Lower;
}

std::uint64_t taskCount(const work::job_spec &Spec) {
  std::uint64_t Count = 0;
  for (const work::step_spec &Step : Spec.Steps)
    Count += Step.Count;
  return Count * Spec.Occurrences;
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
                 std::function<void(const keyed_record &)> Recorded)
    : Loop(Loop), Store(Store), Jobs(Jobs), Metrics(Metrics),
      Registry(Registry), Queues(Queues), Admission(Admission),
      Recorded(std::move(Recorded)) {}

time_point job_api::deadlineOf(const http_request_view &Request) const {
  const std::string_view Text = headerValue(Request.Headers, TimeoutHeader);
  std::int64_t Milliseconds = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Milliseconds);
  const bool Given = Error == std::errc() && Milliseconds > 0;
  const duration Timeout =
      Given ? duration(std::chrono::milliseconds(Milliseconds))
            : DefaultTimeout;
  return Loop.now() +
         std::chrono::duration_cast<duration>(Timeout * GiveUpShare);
}

void job_api::handle(const http_request_view &Request,
                     const std::shared_ptr<ihttp_responder> &Responder) {
  static constexpr auto Routes =
      std::to_array<route>({{"POST", &job_api::submit},
                            {"GET", &job_api::show},
                            {"DELETE", &job_api::cancel}});
  const work::resolved_call Resolved = Queues.resolve(
      hostOf(Request), Request.Path, bearerToken(Request.Headers));
  job_call Call{.Responder = Responder,
                .Since = Loop.now(),
                .Until = deadlineOf(Request),
                .Verb = std::string(Request.Method)};
  if (Resolved.Verdict != work::call_verdict::Allowed) {
    finish(Call, refusalFor(Resolved.Verdict), "not_admitted");
    return;
  }
  if (Resolved.SubPath.empty() && Request.Method == "GET") {
    finish(Call, encodePending(Registry.pending(Resolved.Route->Policy.Queue)),
           "counted");
    return;
  }
  if (!isJobId(Resolved.SubPath)) {
    finish(Call,
           encodeError(NotFound, "no_job_id",
                       "a job id has 16 hexadecimal digits"),
           "no_job_id");
    return;
  }
  Call.Job = job_id(Resolved.SubPath);
  const auto *const Found =
      std::find_if(Routes.begin(), Routes.end(), [&](const route &Each) {
        return Each.Method == Request.Method;
      });
  if (Found == Routes.end())
    finish(Call,
           encodeError(MethodNotAllowed, "method",
                       "jobs take POST, GET and DELETE"),
           "method");
  else
    (this->*Found->Handler)(std::move(Call), Resolved, Request);
}

void job_api::finish(const job_call &Call, http_response Response,
                     std::string_view Reason) {
  Metrics
      .getCounter(
          "geraniumpaddle_job_calls", "Answers to callers of jobs.",
          {{"method", Call.Verb}, {"code", std::to_string(Response.Code)}})
      .add();
  Metrics
      .getHistogram("geraniumpaddle_job_call_seconds",
                    "From a call's arrival to its answer.", latencyBounds(),
                    {{"method", Call.Verb}})
      .observe(std::chrono::duration<double>(Loop.now() - Call.Since).count());
  // Successful looks at a job decide nothing.
  if (Call.Verb != "GET" || Response.Code != Success)
    Log.event("job_call", {{"method", Call.Verb},
                           {"job", Call.Job.view()},
                           {"code", Response.Code},
                           {"reason", Reason},
                           {"config", Queues.version()}});
  Call.Responder->respond(std::move(Response));
}

void job_api::submit(job_call Call, const work::resolved_call &Resolved,
                     const http_request_view &Request) {
  if (Registry.find(Call.Job)) {
    finish(Call, encodeEmpty(Success), "known");
    return;
  }
  work::job_submitted Record;
  try {
    Record.Spec = decodeJob(Request.Body);
  } catch (const malformed_message_error &Problem) {
    finish(Call, encodeError(BadRequest, "malformed", Problem.what()),
           Problem.what());
    return;
  }
  if (taskCount(Record.Spec) > MaxTasks) {
    finish(Call,
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
    finish(Call,
           encodeError(TooManyJobs, "queue_full",
                       "too much is ahead of it for it to be done in time",
                       *RetryAfter),
           "queue_full");
    return;
  }
  const std::string Key = work::submissionKey(Call.Job);
  store(std::move(Call),
        {.Topic = store_topic::Jobs,
         .Records = {{Key, work::encodeRecord(std::move(Record))}}});
}

void job_api::show(job_call Call, const work::resolved_call &,
                   const http_request_view &) {
  whenKnown(std::move(Call), [this](const job_call &Known) {
    finish(Known, encodeJobState(Registry.find(Known.Job)->state()), "shown");
  });
}

void job_api::cancel(job_call Call, const work::resolved_call &,
                     const http_request_view &) {
  whenKnown(std::move(Call), [this](job_call Known) {
    const work::registered_job *Entry = Registry.find(Known.Job);
    if (Entry->Cancelled || ended(Entry->Progress.State)) {
      finish(Known, encodeEmpty(Success), "ended_before");
      return;
    }
    const std::string Key = work::cancellationKey(Known.Job);
    const work::job_cancelled Record{Known.Job};
    store(std::move(Known), {.Topic = store_topic::Jobs,
                             .Records = {{Key, work::encodeRecord(Record)}}});
  });
}

void job_api::whenKnown(job_call Call, std::function<void(job_call)> Then) {
  if (Registry.find(Call.Job)) {
    Then(std::move(Call));
    return;
  }
  const duration Limit = Call.Until - Loop.now();
  Jobs.catchUp(Limit, [this, Life = Alive, Call = std::move(Call),
                       Then = std::move(Then)](bool CaughtUp) {
    if (!*Life)
      return;
    if (Registry.find(Call.Job))
      Then(Call);
    else if (CaughtUp)
      finish(Call, encodeError(Gone, "no_job", "no such job is known"),
             "unknown_job");
    else
      finish(Call,
             encodeError(Unavailable, "store_unavailable",
                         "the job cannot be looked up now", StoreRetryAfter),
             "store_unavailable");
  });
}

duration job_api::storeRetryAfter() {
  const duration Fails = Loop.now() - StoreFailsSince;
  return std::clamp(StoreRetryAfter + Fails, StoreRetryAfter,
                    MaxStoreRetryAfter);
}

void job_api::store(job_call Call, append_call Append) {
  const duration Left = Call.Until - Loop.now();
  Append.Timeout = std::min(AppendTimeout, Left);
  const append_call Sent = Append;
  Store.append(Sent, [this, Life = Alive, Call = std::move(Call),
                      Append = std::move(Append)](
                         const append_outcome &Outcome) mutable {
    if (*Life)
      stored(std::move(Call), std::move(Append), Outcome);
  });
}

void job_api::stored(job_call Call, append_call Append,
                     const append_outcome &Outcome) {
  if (Outcome.Status == stored_status::Stored) {
    StoreFailsSince = {};
    finish(Call, encodeEmpty(Success), "stored");
    const keyed_value &Stored = Append.Records.front();
    Recorded(
        {.Key = Stored.Key, .Value = Stored.Value, .Offset = Outcome.Offset});
    return;
  }
  Call.Uncertain |= Outcome.Status == stored_status::Unknown;
  if (Call.RefusedSince == time_point{})
    Call.RefusedSince = Loop.now();
  if (StoreFailsSince == time_point{})
    StoreFailsSince = Loop.now();
  const bool GiveUp = Loop.now() + AppendRetryDelay >= Call.Until;
  if (!Call.Uncertain &&
      (GiveUp || Loop.now() - Call.RefusedSince >= RefusedFor)) {
    finish(Call,
           encodeError(Unavailable, "store_unavailable", "it was not recorded",
                       storeRetryAfter()),
           "store_refused");
    return;
  }
  if (GiveUp) {
    finish(Call,
           encodeError(Undetermined, "undetermined",
                       "it may or may not have been recorded",
                       storeRetryAfter()),
           "undetermined");
    return;
  }
  // A record replaces an equal one of its key, so a repeat does no harm.
  Loop.startTimer(AppendRetryDelay, [this, Life = Alive, Call = std::move(Call),
                                     Append = std::move(Append)]() mutable {
    if (*Life)
      store(std::move(Call), std::move(Append));
  });
}

} // namespace geraniumpaddle
