#include "core/ledger/ledger.h"

#include <algorithm>
#include <utility>

namespace geraniumpaddle {

namespace {

template <typename Entries>
auto position(Entries &Workers, const worker_id &Id) {
  return std::lower_bound(
      Workers.begin(), Workers.end(), Id,
      [](const worker_entry &A, const worker_id &B) { return A.Info.Id < B; });
}

bool validRegistration(const worker_registered &Registration) {
  const worker_info &Info = Registration.Worker;
  const resources &Capacity = Info.Capacity;
  if (Info.Id.empty() || Info.Zone.empty() || Registration.Agent.empty())
    return false;
  if (Capacity.Accelerators < 0 ||
      Capacity.Accelerators > MaxAcceleratorsPerWorker)
    return false;
  return Capacity.MilliCores >= 0 && Capacity.MemoryMb >= 0 &&
         Registration.Slots >= 0;
}

/// True if \p Change imposes a state that persists across restarts and losses.
bool imposes(const worker_state_changed &Change) {
  const bool TakesOutOfService = Change.State == worker_state::Draining ||
                                 Change.State == worker_state::Quarantined;
  return TakesOutOfService && (Change.Cause == state_cause::OperatorRequest ||
                               Change.Cause == state_cause::TaskFailures);
}

/// True if \p Change lifts an imposed state.
bool lifts(const worker_state_changed &Change) {
  return Change.State == worker_state::Active &&
         (Change.Cause == state_cause::OperatorRequest ||
          Change.Cause == state_cause::ProbeSucceeded);
}

} // namespace

const worker_entry *ledger::worker(const worker_id &Id) const {
  auto Found = position(Workers, Id);
  if (Found == Workers.end() || Found->Info.Id != Id)
    return nullptr;
  return &*Found;
}

worker_entry *ledger::findWorker(const worker_id &Id) {
  return const_cast<worker_entry *>(std::as_const(*this).worker(Id));
}

void ledger::setWorkerState(worker_entry &Worker, worker_state State,
                            state_cause Cause, log_offset Offset) {
  Worker.State = State;
  Worker.Cause = Cause;
  Worker.StateChanged = Offset;
  // The worker's state is a fact that cannot be rejected; guarantees that it
  // leaves uncovered are reported as shortfalls.
  static_cast<void>(
      Account.setUsable(Worker.Info.Id, State == worker_state::Active));
}

verdict ledger::onWorkerRegistered(const worker_registered &Registration,
                                   const context &Context) {
  if (!validRegistration(Registration))
    return {rejection::InvalidRecord};
  const worker_info &Info = Registration.Worker;
  auto Position = position(Workers, Info.Id);
  const bool Known = Position != Workers.end() && Position->Info.Id == Info.Id;
  if (Known && Registration.AgentIncarnation < Position->AgentIncarnation)
    return {rejection::StaleIncarnation, Position->Registered};
  if (!Known)
    Position = Workers.insert(Position, worker_entry{});
  worker_entry &Worker = *Position;
  const bool NewIncarnation =
      !Known || Registration.AgentIncarnation > Worker.AgentIncarnation;
  if (!Known || Worker.Info != Info)
    Account.registerWorker(Info);
  Worker.Info = Info;
  Worker.Agent = Registration.Agent;
  Worker.AgentIncarnation = Registration.AgentIncarnation;
  Worker.PeerAddress = Registration.PeerAddress;
  Worker.Service = Registration.Service;
  Worker.Slots = Registration.Slots;
  if (!NewIncarnation)
    return {};
  Worker.Registered = Context.Offset;
  setWorkerState(Worker, Worker.ImposedState, state_cause::Announced,
                 Context.Offset);
  return {};
}

verdict ledger::onWorkerStateChanged(const worker_state_changed &Change,
                                     const context &Context) {
  worker_entry *Worker = findWorker(Change.Worker);
  if (Worker == nullptr)
    return {rejection::UnknownWorker};
  // An operator's request addresses the worker, whatever its agent's
  // incarnation.
  const bool AnyIncarnation = Change.Cause == state_cause::OperatorRequest &&
                              Change.AgentIncarnation == incarnation{};
  if (!AnyIncarnation && Change.AgentIncarnation < Worker->AgentIncarnation)
    return {rejection::StaleIncarnation, Worker->Registered};
  if (!AnyIncarnation && Change.AgentIncarnation > Worker->AgentIncarnation)
    return {rejection::InvalidRecord};
  return changeWorkerState(*Worker, Change, Context.Offset);
}

verdict ledger::changeWorkerState(worker_entry &Worker,
                                  const worker_state_changed &Change,
                                  log_offset Offset) {
  const bool WasLost = Worker.State == worker_state::Lost;
  if (imposes(Change))
    Worker.ImposedState = Change.State;
  if (lifts(Change)) {
    Worker.ImposedState = worker_state::Active;
    Worker.Failures.clear();
  }
  const bool BecomesAvailable = Change.State == worker_state::Active;
  const bool StaysLost = WasLost && Change.State != worker_state::Lost &&
                         Change.Cause != state_cause::Announced;
  worker_state State = BecomesAvailable ? Worker.ImposedState : Change.State;
  if (StaysLost)
    State = worker_state::Lost;
  setWorkerState(Worker, State, Change.Cause, Offset);
  return {};
}

void ledger::blameWorker(const worker_id &Id, const job_id &Job,
                         const context &Context) {
  worker_entry *Worker = findWorker(Id);
  if (Worker == nullptr)
    return;
  std::vector<blamed_failure> &Failures = Worker->Failures;
  std::erase_if(Failures, [&Job](const blamed_failure &Failure) {
    return Failure.Job == Job;
  });
  if (Failures.size() == MaxFailuresPerWorker)
    Failures.erase(Failures.begin());
  Failures.push_back({Job, Context.Offset, Context.Record.At});
}

void ledger::clearFailures(std::span<const task_assignment> Assignments) {
  for (const task_assignment &Assignment : Assignments)
    if (worker_entry *Worker = findWorker(Assignment.Worker))
      Worker->Failures.clear();
}

} // namespace geraniumpaddle
