#include "core/gang/memberattempt.h"

#include <algorithm>
#include <utility>

namespace geraniumpaddle {

member_attempt::member_attempt(fencing_token Token, const gang_timing &Timing,
                               worker_calls &Calls)
    : Token(Token), Timing(Timing), Calls(Calls) {}

bool member_attempt::member_task::mayRun() const {
  return Phase == task_phase::Starting || Phase == task_phase::Running;
}

gang_task_id member_attempt::idOf(const member_task &Task) const {
  return {Token, Task.Task.Assignment.Task};
}

member_attempt::member_task *member_attempt::find(std::uint32_t Task) {
  const auto Found =
      std::ranges::find_if(Tasks, [&](const member_task &Candidate) {
        return Candidate.Task.Assignment.Task == Task;
      });
  return Found == Tasks.end() ? nullptr : &*Found;
}

void member_attempt::assign(const prepare_tasks &Message) {
  const bool WasAdopted = std::exchange(Adopted, false);
  Command = Message.Command;
  Victims = Message.Victims;
  for (const gang_task &Task : Message.Tasks) {
    member_task *Found = find(Task.Assignment.Task);
    if (!Found)
      Found = &Tasks.emplace_back();
    // The previous incarnation of the agent started only some of the tasks.
    if (WasAdopted && Found->Phase == task_phase::Reserved)
      end(*Found, task_state::Stopped, "never started");
    Found->Task = Task;
  }
}

void member_attempt::adopt(const task_status &Status, worker_call_id Call,
                           time_point Now) {
  if (find(Status.Id.Task))
    return onStatus(Status, Call);
  Adopted = true;
  Phase = phase::Started;
  LeaseUntil = std::max(LeaseUntil, Now + Status.LeaseLeft);
  member_task &Task = Tasks.emplace_back();
  Task.Task.Assignment.Task = Status.Id.Task;
  Task.Task.Assignment.Accelerators = Status.Accelerators;
  Task.Phase = task_phase::Running;
  Task.ExpiresAt = Now + Timing.leaseExpiryBound(Status.LeaseLeft);
  Task.LastSeenCall = Calls.last();
  onStatus(Status, Call);
}

void member_attempt::fence(time_point Now) {
  Phase = phase::Ended;
  EndedAt = Now;
}

void member_attempt::setPrepared() {
  if (Phase == phase::Waiting)
    Phase = phase::Prepared;
}

void member_attempt::start(duration Granted, const reply_handle &Reply,
                           time_point Now) {
  PendingReplies.push_back(Reply);
  if (Phase != phase::Prepared)
    return;
  Phase = phase::Started;
  Lease = Granted;
  LeaseUntil = Now + Granted;
  for (member_task &Task : Tasks) {
    if (Task.Phase == task_phase::Reserved)
      sendStart(Task, Now);
  }
}

void member_attempt::renew(duration Granted, const reply_handle &Reply,
                           time_point Now) {
  PendingReplies.push_back(Reply);
  Lease = Granted;
  LeaseUntil = std::max(LeaseUntil, Now + Granted);
  std::vector<gang_task_id> Ids;
  for (member_task &Task : Tasks) {
    if (Task.Phase != task_phase::Running)
      continue;
    recordGrant(Task, Now);
    Ids.push_back(idOf(Task));
  }
  if (!Ids.empty())
    Calls.renew(Ids, Granted);
}

void member_attempt::recordGrant(member_task &Task, time_point Now) {
  ++Task.PendingGrants;
  Task.ExpiresAt =
      std::max(Task.ExpiresAt, Now + Timing.leaseExpiryBound(Lease));
}

void member_attempt::sendStart(member_task &Task, time_point Now) {
  Task.Phase = task_phase::Starting;
  Task.SentAt = Now;
  // The lease of a repeated start must not outlast that of the lead.
  const duration Left = std::min(Lease, LeaseUntil - Now);
  recordGrant(Task, Now);
  Calls.start(idOf(Task), Task.Task, Command, Left);
}

void member_attempt::sendStop(member_task &Task, time_point Now) {
  Task.SentAt = Now;
  Task.StopSent = true;
  Calls.stop(idOf(Task));
}

void member_attempt::beginStop(bool Checkpoint, time_point Now) {
  if (Phase == phase::Stopping || Phase == phase::Ended)
    return;
  Phase = phase::Stopping;
  CheckpointUntil = Now + Timing.CheckpointLimit;
  for (member_task &Task : Tasks) {
    if (Task.Phase == task_phase::Reserved)
      end(Task, task_state::Stopped, {});
    if (Checkpoint && Task.Phase == task_phase::Running)
      Task.Checkpoint = checkpoint_step::Due;
  }
  advance(Now);
}

void member_attempt::end(member_task &Task, task_state State,
                         std::string_view Detail) {
  if (Task.Phase == task_phase::Ended)
    return;
  Task.Phase = task_phase::Ended;
  Task.EndState = State;
  Task.Detail = Detail;
}

void member_attempt::expireLease(time_point Now) {
  if (Phase == phase::Started && mayRun() && Now >= LeaseUntil)
    beginStop(/*Checkpoint=*/false, Now);
}

void member_attempt::advance(time_point Now) {
  for (member_task &Task : Tasks) {
    if (!Task.mayRun())
      continue;
    if (Task.PendingGrants == 0 && Now >= Task.ExpiresAt)
      end(Task, task_state::Stopped, "lease lapsed");
    else if (Phase == phase::Stopping)
      advanceStop(Task, Now);
    else if (Task.Phase == task_phase::Starting && Task.PendingGrants == 0 &&
             Now >= Task.SentAt + Timing.RetryInterval)
      sendStart(Task, Now);
  }
  updatePhase(Now);
}

void member_attempt::advanceStop(member_task &Task, time_point Now) {
  if (Task.Checkpoint == checkpoint_step::Due) {
    Task.Checkpoint = checkpoint_step::Requested;
    Task.CheckpointCall = Calls.checkpoint(idOf(Task));
  }
  const bool CheckpointRunning = Task.Checkpoint == checkpoint_step::Requested;
  if (CheckpointRunning && Now < CheckpointUntil)
    return;
  if (!Task.StopSent || Now >= Task.SentAt + Timing.RetryInterval)
    sendStop(Task, Now);
}

void member_attempt::updatePhase(time_point Now) {
  const bool HasStarted = Phase == phase::Started || Phase == phase::Stopping;
  if (HasStarted && allTasksIn(task_phase::Ended)) {
    Phase = phase::Ended;
    EndedAt = Now;
    return;
  }
  // The attempt cannot succeed any more: stops the remaining tasks.
  const bool CannotSucceed =
      anyEndedWith(task_state::Failed) || anyEndedWith(task_state::Stopped);
  if (Phase == phase::Started && CannotSucceed)
    beginStop(/*Checkpoint=*/false, Now);
}

void member_attempt::onStatus(const task_status &Status, worker_call_id Call) {
  member_task *Task = find(Status.Id.Task);
  if (!Task || Task->Phase == task_phase::Ended)
    return;
  switch (Status.State) {
  case task_state::Running:
    if (Task->Checkpoint == checkpoint_step::Requested &&
        Call > Task->CheckpointCall)
      Task->Checkpoint = checkpoint_step::Done;
    [[fallthrough]];
  case task_state::Checkpointing:
    Task->Phase = task_phase::Running;
    Task->LastSeenCall = Calls.last();
    return;
  case task_state::Finished:
  case task_state::Failed:
  case task_state::Stopped:
    end(*Task, Status.State, Status.Detail);
    return;
  }
}

void member_attempt::onDescribed(std::span<const task_status> All,
                                 worker_call_id Call) {
  for (member_task &Task : Tasks) {
    const bool Reported =
        std::ranges::any_of(All, [&](const task_status &Status) {
          return Status.Id == idOf(Task);
        });
    // Only a task list requested after the task was seen running proves that
    // the worker has lost it.
    if (!Reported && Task.Phase == task_phase::Running &&
        Call > Task.LastSeenCall)
      end(Task, task_state::Stopped, "unknown to the worker");
  }
}

void member_attempt::onAnswer(worker_calls::kind Kind, std::uint32_t Index,
                              worker_answer Outcome, time_point Now) {
  member_task *Task = find(Index);
  if (!Task)
    return;
  const bool Refused = Outcome == worker_answer::Refused;
  const bool Answered = Outcome == worker_answer::Answered;
  switch (Kind) {
  case worker_calls::kind::Describe:
    return;
  case worker_calls::kind::Start:
    --Task->PendingGrants;
    CallFailed = CallFailed || !Answered;
    if (Refused && Task->Phase == task_phase::Starting)
      end(*Task, task_state::Failed, "refused by the worker");
    break;
  case worker_calls::kind::Renew:
    --Task->PendingGrants;
    CallFailed = CallFailed || !Answered;
    break;
  case worker_calls::kind::Checkpoint:
    if (!Answered)
      Task->Checkpoint = checkpoint_step::Done;
    return;
  case worker_calls::kind::Stop:
    // Only the task's status shows whether it has stopped.
    return;
  }
  // An unanswered grant may have reached the worker as late as now.
  if (Outcome == worker_answer::Unanswered)
    Task->ExpiresAt =
        std::max(Task->ExpiresAt, Now + Timing.leaseExpiryBound(Lease));
}

bool member_attempt::anyEndedWith(task_state EndState) const {
  return std::ranges::any_of(Tasks, [&](const member_task &Task) {
    return Task.Phase == task_phase::Ended && Task.EndState == EndState;
  });
}

bool member_attempt::allTasksIn(task_phase Expected) const {
  return std::ranges::all_of(
      Tasks, [&](const member_task &Task) { return Task.Phase == Expected; });
}

bool member_attempt::mayRun() const {
  return std::ranges::any_of(Tasks, &member_task::mayRun);
}

accelerator_mask member_attempt::accelerators() const {
  accelerator_mask Mask = 0;
  for (const member_task &Task : Tasks)
    Mask |= Task.Task.Assignment.Accelerators;
  return Mask;
}

member_state member_attempt::state() const {
  switch (Phase) {
  case phase::Waiting:
    return member_state::Waiting;
  case phase::Prepared:
    return member_state::Prepared;
  case phase::Stopping:
    return member_state::Stopping;
  case phase::Started:
    break;
  case phase::Ended:
    if (anyEndedWith(task_state::Failed))
      return member_state::Failed;
    if (Tasks.empty() || anyEndedWith(task_state::Stopped))
      return member_state::Stopped;
    return member_state::Finished;
  }
  const bool HasUnstarted =
      std::ranges::any_of(Tasks, [](const member_task &Task) {
        return Task.Phase == task_phase::Reserved ||
               Task.Phase == task_phase::Starting;
      });
  return HasUnstarted ? member_state::Prepared : member_state::Running;
}

member_report member_attempt::report() const {
  member_report Report;
  Report.State = state();
  if (CallFailed && Phase == phase::Started)
    Report.Refusal = gang_refusal::NotReady;
  if (stopping() || Report.State == member_state::Stopped)
    Report.Refusal = gang_refusal::StaleToken;
  for (const member_task &Task : Tasks) {
    if (Report.Detail.empty())
      Report.Detail = Task.Detail;
  }
  return Report;
}

time_point member_attempt::nextTimerAt() const {
  time_point Next = time_point::max();
  if (!mayRun())
    return Next;
  if (Phase == phase::Started)
    Next = LeaseUntil;
  for (const member_task &Task : Tasks) {
    if (!Task.mayRun())
      continue;
    if (Task.PendingGrants == 0)
      Next = std::min(Next, Task.ExpiresAt);
    if (Phase == phase::Stopping && !Task.StopSent)
      Next = std::min(Next, CheckpointUntil);
    else if (Phase == phase::Stopping ||
             (Task.Phase == task_phase::Starting && Task.PendingGrants == 0))
      Next = std::min(Next, Task.SentAt + Timing.RetryInterval);
  }
  return Next;
}

std::vector<reply_handle> member_attempt::takeAnsweredCalls() {
  const bool Open = std::ranges::any_of(
      Tasks, [](const member_task &Task) { return Task.PendingGrants > 0; });
  if (Open && Phase == phase::Started)
    return {};
  if (!PendingReplies.empty())
    CallFailed = false;
  return std::exchange(PendingReplies, {});
}

} // namespace geraniumpaddle
