#include "entry/healthdriver.h"

#include "core/base/membertable.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace geraniumpaddle {

namespace {

constexpr std::chrono::milliseconds ProbeTimeLimit{30000};
constexpr duration ProbeTimeout = ProbeTimeLimit + std::chrono::seconds(5);
constexpr duration ProposalTimeout = std::chrono::seconds(10);

} // namespace

health_driver::health_driver(ievent_loop &Loop, ipeer_client &Peers,
                             iproposer &Log, const live_members &Members,
                             const peer_identity &Self,
                             const worker_health_limits &Limits,
                             std::string ProbeCommand)
    : Loop(Loop), Peers(Peers), Log(Log), Members(Members), Self(Self),
      ProbeCommand(std::move(ProbeCommand)), Health(Limits), HealthTimer(Loop) {
}

void health_driver::onStateReplaced() {
  for (const worker_entry &Worker : Log.state().workers()) {
    Health.onRegistered(Worker.Info.Id);
    if (Worker.State == worker_state::Quarantined)
      execute(Health.onStateChanged(
          {Worker.Info.Id, Worker.AgentIncarnation, Worker.State, Worker.Cause},
          Loop.now()));
  }
}

void health_driver::onRecordApplied(log_offset, const record &Record,
                                    const verdict &Verdict) {
  if (!Verdict.accepted())
    return;
  if (const auto *Registration = std::get_if<worker_registered>(&Record.Body))
    Health.onRegistered(Registration->Worker.Id);
  else if (const auto *Change = std::get_if<worker_state_changed>(&Record.Body))
    execute(Health.onStateChanged(*Change, Loop.now()));
  else if (const auto *End = std::get_if<job_ended>(&Record.Body))
    observe(*End);
}

void health_driver::observe(const job_ended &End) {
  const job_entry *Job = Log.state().job(End.Job);
  if (!Job)
    return;
  std::vector<worker_id> Workers;
  for (const task_assignment &Task : Job->Assignments)
    Workers.push_back(Task.Worker);
  execute(Health.onJobEnded(End, Job->Spec.Customer, Workers, Loop.now()));
}

void health_driver::execute(worker_health::commands Commands) {
  using table =
      member_table<&health_driver::onQuarantine, &health_driver::onProbe,
                   &health_driver::onActivate>;
  for (const worker_health_command &Command : Commands)
    table::dispatch(*this, Command);
  armTimer();
}

const worker_entry *health_driver::ownedWorker(const worker_id &Id) const {
  const worker_entry *Worker = Log.state().worker(Id);
  bool IsOwned = Worker && Log.ready() &&
                 Members.ownsAgent(Worker->Agent, Worker->Info.Region);
  return IsOwned ? Worker : nullptr;
}

void health_driver::propose(const worker_id &Id, worker_state State,
                            state_cause Cause) {
  const worker_entry *Worker = ownedWorker(Id);
  if (!Worker)
    return;
  Log.propose(actor_id(Self.Node.view()),
              worker_state_changed{Id, Worker->AgentIncarnation, State, Cause},
              ProposalTimeout, [](const proposal_answered &) {});
}

void health_driver::onQuarantine(const quarantine_worker &Command) {
  Logger.warning("worker failed tasks of several jobs: " +
                 Command.Worker.str());
  propose(Command.Worker, worker_state::Quarantined, state_cause::TaskFailures);
}

void health_driver::onActivate(const activate_worker &Command) {
  propose(Command.Worker, worker_state::Active, state_cause::ProbeSucceeded);
}

void health_driver::onProbe(const probe_worker &Command) {
  const worker_entry *Worker = ownedWorker(Command.Worker);
  if (!Worker)
    return;
  proto::PeerRequest Request = makeRequest(Self);
  Request.mutable_probe_worker()->set_command(ProbeCommand);
  Request.mutable_probe_worker()->set_limit_ms(
      static_cast<std::uint64_t>(ProbeTimeLimit.count()));
  Peers.call(
      Worker->PeerAddress, Request, ProbeTimeout,
      [this, Id = Command.Worker, Alive = Alive](const peer_result &Result) {
        if (!*Alive)
          return;
        bool Succeeded = Result.Status == call_status::Completed &&
                         Result.Response.probe().succeeded();
        execute(Health.onProbeEnded({Id, Succeeded}, Loop.now()));
      });
}

void health_driver::armTimer() {
  time_point At = Health.nextTimerAt();
  if (At == time_point::max())
    return HealthTimer.cancel();
  HealthTimer.startAt(At,
                      [this] { execute(Health.onTimerExpired(Loop.now())); });
}

} // namespace geraniumpaddle
