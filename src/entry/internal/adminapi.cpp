#include "entry/adminapi.h"

#include "codec/protoconvert.h"
#include "codec/protojson.h"
#include "entry/apimessages.h"
#include "entry/httputil.h"

#include <algorithm>
#include <array>
#include <bit>
#include <charconv>
#include <utility>

namespace geraniumpaddle {

namespace {

enum class access : std::uint8_t { Operators, Authenticated };

constexpr std::string_view ActorHeader = "X-Actor";

void respondNotFound(const std::shared_ptr<ihttp_responder> &Responder,
                     std::string_view Message) {
  Responder->respond(errorResponse(error_kind::NotFound, "not_found", Message));
}

error_kind kindOf(const proposal_answered &Answer) {
  if (Answer.Outcome == proposal_outcome::Undetermined)
    return error_kind::Undetermined;
  return Answer.Cause == not_run_cause::QueueFull
             ? error_kind::ResourceExhausted
             : error_kind::Unavailable;
}

std::string_view causeName(not_run_cause Cause) {
  switch (Cause) {
  case not_run_cause::QueueFull:
    return "queue_full";
  case not_run_cause::LogUnavailable:
    return "log_unavailable";
  case not_run_cause::ShuttingDown:
    return "shutting_down";
  case not_run_cause::None:
    break;
  }
  return "none";
}

http_response undecidedResponse(const proposal_answered &Answer) {
  bool Undetermined = Answer.Outcome == proposal_outcome::Undetermined;
  return errorResponse(
      kindOf(Answer), Undetermined ? "undetermined" : causeName(Answer.Cause),
      Undetermined ? "not known whether it was recorded; ask again"
                   : "not recorded");
}

std::uint64_t parseNumber(const std::optional<std::string> &Text) {
  std::uint64_t Value = 0;
  if (Text)
    std::from_chars(Text->data(), Text->data() + Text->size(), Value);
  return Value;
}

/// True if \p Change is the change that produced the current version, that is,
/// the caller retries it after a lost answer.
bool isAlreadyApplied(const customers_changed &Change, const ledger &State) {
  if (raw(State.version()) != raw(Change.Base) + 1)
    return false;
  auto Matches = [&](const customer_config &Wanted) {
    const customer_entry *Found = State.customer(Wanted.Id);
    return Found && Found->Config == Wanted &&
           Found->LastChange.Offset == State.versionOffset();
  };
  auto Absent = [&](const customer_id &Id) { return !State.customer(Id); };
  return std::all_of(Change.Put.begin(), Change.Put.end(), Matches) &&
         std::all_of(Change.Removed.begin(), Change.Removed.end(), Absent);
}

} // namespace

/// One route of the API. A trailing star in the pattern matches any name.
struct admin_api::route {
  std::string_view Method;
  std::string_view Pattern;
  access Access;
  void (admin_api::*Handle)(const call &);
};

std::span<const admin_api::route> admin_api::routes() {
  static constexpr auto Routes = std::to_array<route>({
      {"GET", "/v1/customers", access::Operators, &admin_api::getCustomers},
      {"PUT", "/v1/customers", access::Operators, &admin_api::putCustomers},
      {"POST", "/v1/jobs", access::Authenticated, &admin_api::submitJob},
      {"GET", "/v1/jobs", access::Authenticated, &admin_api::listJobs},
      {"GET", "/v1/jobs/*", access::Authenticated, &admin_api::getJob},
      {"DELETE", "/v1/jobs/*", access::Authenticated, &admin_api::cancelJob},
      {"GET", "/v1/workers", access::Operators, &admin_api::listWorkers},
      {"POST", "/v1/workers/*", access::Operators, &admin_api::changeWorker},
      {"GET", "/v1/audit", access::Authenticated, &admin_api::getAudit},
      {"GET", "/v1/status", access::Operators, &admin_api::getStatus},
  });
  return Routes;
}

admin_api::admin_api(ievent_loop &Loop, iproposer &Log, customer_auth &Auth,
                     const agent_directory &Agents,
                     const scheduler_driver &Scheduler, duration AppendDeadline,
                     std::function<proto::EntryStatus()> Status)
    : Loop(Loop), Log(Log), Auth(Auth), Agents(Agents), Scheduler(Scheduler),
      AppendDeadline(AppendDeadline), Status(std::move(Status)) {}

caller_identity admin_api::identify(const http_request_view &Request) {
  std::string_view Token = bearerToken(Request.Headers);
  std::string_view Customer = headerValue(Request.Headers, "X-Customer");
  if (Customer.empty() && Auth.isOperator(Token))
    return {caller_kind::Operator, {}};
  return Auth.identify(Token, customer_id(Customer), Log.state());
}

void admin_api::handle(const http_request_view &Request,
                       const std::shared_ptr<ihttp_responder> &Responder) {
  call Call{Request, Responder, identify(Request), {}};
  if (Call.Caller.Kind == caller_kind::Unauthenticated)
    return Responder->respond(errorResponse(error_kind::PermissionDenied,
                                            "token_invalid", "no valid token"));
  if (!Log.ready())
    return Responder->respond(errorResponse(
        error_kind::Unavailable, "not_ready", "this entry is starting"));
  for (const route &Route : routes()) {
    bool HasName = Route.Pattern.ends_with('*');
    std::string_view Prefix =
        Route.Pattern.substr(0, Route.Pattern.size() - (HasName ? 1 : 0));
    bool Matches = HasName ? Request.Path.starts_with(Prefix) &&
                                 Request.Path.size() > Prefix.size()
                           : Request.Path == Prefix;
    if (!Matches || Route.Method != Request.Method)
      continue;
    if (Route.Access == access::Operators &&
        Call.Caller.Kind != caller_kind::Operator)
      return Responder->respond(errorResponse(error_kind::PermissionDenied,
                                              "operators_only",
                                              "needs the operators' token"));
    Call.Name = std::string(Request.Path.substr(Prefix.size()));
    try {
      return (this->*Route.Handle)(Call);
    } catch (const error &Failure) {
      return Responder->respond(
          errorResponse(Failure.kind(), name(Failure.kind()), Failure.what()));
    }
  }
  respondNotFound(Responder, "no such call");
}

actor_id admin_api::actorOf(const call &Call) const {
  if (Call.Caller.Kind == caller_kind::Customer)
    return actor_id(Call.Caller.Customer.view());
  std::string_view Actor = headerValue(Call.Request.Headers, ActorHeader);
  return actor_id(Actor.empty() ? "operator" : Actor);
}

void admin_api::propose(
    const call &Call, record_body Body,
    std::function<http_response(const proposal_answered &)> MakeResponse) {
  Log.propose(actorOf(Call), std::move(Body), AppendDeadline,
              [Responder = Call.Responder,
               MakeResponse = std::move(MakeResponse),
               Alive = Alive](const proposal_answered &Answer) {
                if (!*Alive)
                  return;
                bool Decided = Answer.Outcome == proposal_outcome::Decided;
                Responder->respond(Decided ? MakeResponse(Answer)
                                           : undecidedResponse(Answer));
              });
}

void admin_api::getCustomers(const call &Call) {
  Call.Responder->respond(jsonResponse(200, customerList(Log.state())));
}

void admin_api::putCustomers(const call &Call) {
  proto::ChangeCustomers Body;
  parseJson(Call.Request.Body, Body);
  customers_changed Change = customersChange(Body);
  propose(Call, Change, [this, Change](const proposal_answered &Answer) {
    bool IsDuplicate = Answer.Verdict.Reason == rejection::VersionConflict &&
                       isAlreadyApplied(Change, Log.state());
    if (!Answer.Verdict.accepted() && !IsDuplicate)
      return rejectionResponse(Answer.Verdict);
    proto::ChangeAccepted Out;
    Out.set_version(raw(Log.state().version()));
    Out.set_offset(
        raw(IsDuplicate ? Log.state().versionOffset() : Answer.Offset));
    return jsonResponse(200, Out);
  });
}

void admin_api::submitJob(const call &Call) {
  proto::SubmitJob Body;
  parseJson(Call.Request.Body, Body);
  job_spec Spec = fromProto(Body.spec());
  bool Permitted = Call.Caller.Kind == caller_kind::Operator ||
                   Call.Caller.Customer == Spec.Customer;
  if (!Permitted)
    return Call.Responder->respond(
        errorResponse(error_kind::PermissionDenied, "other_customer",
                      "the job names another customer"));
  propose(Call, job_submitted{Spec},
          [this, Spec](const proposal_answered &Answer) {
            const job_entry *Job = Log.state().job(Spec.Id);
            // The same job, resubmitted after a lost answer.
            bool IsDuplicate = Answer.Verdict.Reason == rejection::JobExists &&
                               Job && Job->Spec == Spec;
            if (!Answer.Verdict.accepted() && !IsDuplicate)
              return rejectionResponse(Answer.Verdict);
            if (!Job)
              return errorResponse(error_kind::Internal, "forgotten",
                                   "the job is no longer known");
            return jsonResponse(IsDuplicate ? 200 : 201, statusOfJob(*Job));
          });
}

/// Returns the job that the path names if the caller may see it, else nullptr.
const job_entry *admin_api::visibleJob(const call &Call) const {
  const job_entry *Job = Log.state().job(job_id(Call.Name));
  if (!Job || Call.Caller.Kind == caller_kind::Operator)
    return Job;
  return Job->Spec.Customer == Call.Caller.Customer ? Job : nullptr;
}

void admin_api::listJobs(const call &Call) {
  proto::JobList Out;
  auto Add = [&](const job_entry *Job) {
    if (Call.Caller.Kind == caller_kind::Operator ||
        Job->Spec.Customer == Call.Caller.Customer)
      *Out.add_jobs() = statusOfJob(*Job);
  };
  for (const job_entry *Job : Log.state().waitingJobs())
    Add(Job);
  for (const job_entry *Job : Log.state().runningAttempts())
    Add(Job);
  Call.Responder->respond(jsonResponse(200, Out));
}

void admin_api::getJob(const call &Call) {
  const job_entry *Job = visibleJob(Call);
  if (!Job)
    return respondNotFound(Call.Responder, "no such job");
  Call.Responder->respond(jsonResponse(200, statusOfJob(*Job)));
}

void admin_api::cancelJob(const call &Call) {
  const job_entry *Job = visibleJob(Call);
  if (!Job)
    return respondNotFound(Call.Responder, "no such job");
  propose(Call, job_cancelled{Job->Spec.Id},
          [this, Id = Job->Spec.Id](const proposal_answered &Answer) {
            const job_entry *Current = Log.state().job(Id);
            if (!Answer.Verdict.accepted() || !Current)
              return rejectionResponse(Answer.Verdict);
            return jsonResponse(200, statusOfJob(*Current));
          });
}

std::string admin_api::explain(const job_entry &Job) const {
  if (Job.State == job_state::Waiting)
    if (auto Found = Scheduler.explain(Job.Spec.Id))
      return explanationText(*Found);
  return stepExplanation(Job);
}

proto::JobStatus admin_api::statusOfJob(const job_entry &Job) const {
  proto::JobStatus Out = jobStatus(Job);
  Out.set_explanation(explain(Job));
  return Out;
}

proto::WorkerStatus
admin_api::statusOfWorker(const worker_entry &Worker) const {
  proto::WorkerStatus Out = workerStatus(Worker);
  if (const agent_link *Link = Agents.link(Worker.Agent)) {
    Out.set_linked(!Link->Suspected);
    Out.set_in_flight(Link->Load.InFlight);
    Out.set_config_version(raw(Link->Version));
  }
  const capacity_account &Account = Log.state().account();
  if (auto Index = Account.workers().find(Worker.Info.Id))
    Out.set_accelerators_free(std::popcount(Account.freeMask(*Index)));
  return Out;
}

void admin_api::listWorkers(const call &Call) {
  proto::WorkerList Out;
  for (const worker_entry &Worker : Log.state().workers())
    *Out.add_workers() = statusOfWorker(Worker);
  Call.Responder->respond(jsonResponse(200, Out));
}

void admin_api::changeWorker(const call &Call) {
  auto Slash = Call.Name.rfind('/');
  std::string Id = Call.Name.substr(0, Slash);
  auto State = Slash == std::string::npos
                   ? std::nullopt
                   : requestedState(Call.Name.substr(Slash + 1));
  const worker_entry *Worker = Log.state().worker(worker_id(Id));
  if (!State || !Worker)
    return respondNotFound(Call.Responder,
                           Worker ? "no such call" : "no such worker");
  propose(Call,
          worker_state_changed{Worker->Info.Id, incarnation{}, *State,
                               state_cause::OperatorRequest},
          [this, Id](const proposal_answered &Answer) {
            const worker_entry *Current = Log.state().worker(worker_id(Id));
            if (!Answer.Verdict.accepted() || !Current)
              return rejectionResponse(Answer.Verdict);
            return jsonResponse(200, statusOfWorker(*Current));
          });
}

void admin_api::getAudit(const call &Call) {
  audit_query Query;
  Query.Since =
      log_offset{parseNumber(queryValue(Call.Request.Query, "since"))};
  Query.Customer =
      customer_id(queryValue(Call.Request.Query, "customer").value_or(""));
  Query.Job = job_id(queryValue(Call.Request.Query, "job").value_or(""));
  if (Call.Caller.Kind == caller_kind::Customer)
    Query.Customer = Call.Caller.Customer;
  proto::AuditList Out;
  Out.set_oldest(raw(Log.state().oldestAudit()));
  for (const audit_event &Event : Log.state().audit(Query))
    *Out.add_events() = auditEvent(Event);
  Call.Responder->respond(jsonResponse(200, Out));
}

void admin_api::getStatus(const call &Call) {
  Call.Responder->respond(jsonResponse(200, Status()));
}

} // namespace geraniumpaddle
