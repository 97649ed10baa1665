#include "core/gang/memberattempt.h"

#include <algorithm>
#include <utility>

namespace geraniumpaddle {

held_attempt::held_attempt(fencing_token Token, const gang_timing &Timing,
                           worker_calls &Calls)
    : Token(Token), Timing(Timing), Calls(Calls) {}

bool held_attempt::held_task::mayRun() const {
  return Phase == task_phase::Starting || Phase == task_phase::Running;
}

gang_task_id held_attempt::idOf(const held_task &Task) const {
  return {Token, Task.Task.Assignment.Task};
}

held_attempt::held_task *held_attempt::find(std::uint32_t Task) {
  const auto Found = std::ranges::find_if(Tasks, [&](const held_task &Held) {
    return Held.Task.Assignment.Task == Task;
  });
  return Found == Tasks.end() ? nullptr : &*Found;
}

void held_attempt::assign(const prepare_tasks &Message) {
  const bool WasAdopted = std::exchange(Adopted, false);
  Command = Message.Command;
  Victims = Message.Victims;
  for (const gang_task &Task : Message.Tasks) {
    held_task *Known = find(Task.Assignment.Task);
    if (!Known)
      Known = &Tasks.emplace_back();
    // The agent restarted between the starts of this worker's tasks.
    if (WasAdopted && Known->Phase == task_phase::Held)
      end(*Known, task_state::Stopped, "never started");
    Known->Task = Task;
  }
}

void held_attempt::adopt(const task_status &Status, worker_call_id Call,
                         time_point Now) {
  if (find(Status.Id.Task))
    return onStatus(Status, Call);
  Adopted = true;
  Phase = phase::Started;
  LeaseUntil = std::max(LeaseUntil, Now + Status.LeaseLeft);
  held_task &Task = Tasks.emplace_back();
  Task.Task.Assignment.Task = Status.Id.Task;
  Task.Task.Assignment.Accelerators = Status.Accelerators;
  Task.Phase = task_phase::Running;
  Task.LapsesAt = Now + Timing.leaseExpiryBound(Status.LeaseLeft);
  Task.KnownSince = Calls.last();
  onStatus(Status, Call);
}

void held_attempt::bar(time_point Now) {
  Phase = phase::Over;
  OverSince = Now;
}

void held_attempt::setPrepared() {
  if (Phase == phase::Waiting)
    Phase = phase::Prepared;
}

void held_attempt::start(duration Granted, const reply_handle &Reply,
                         time_point Now) {
  Pending.push_back(Reply);
  if (Phase != phase::Prepared)
    return;
  Phase = phase::Started;
  Lease = Granted;
  LeaseUntil = Now + Granted;
  for (held_task &Task : Tasks) {
    if (Task.Phase == task_phase::Held)
      sendStart(Task, Now);
  }
}

void held_attempt::renew(duration Granted, const reply_handle &Reply,
                         time_point Now) {
  Pending.push_back(Reply);
  Lease = Granted;
  LeaseUntil = std::max(LeaseUntil, Now + Granted);
  std::vector<gang_task_id> Ids;
  for (held_task &Task : Tasks) {
    if (Task.Phase != task_phase::Running)
      continue;
    grant(Task, Now);
    Ids.push_back(idOf(Task));
  }
  if (!Ids.empty())
    Calls.renew(Ids, Granted);
}

void held_attempt::grant(held_task &Task, time_point Now) {
  ++Task.OpenGrants;
  Task.LapsesAt = std::max(Task.LapsesAt, Now + Timing.leaseExpiryBound(Lease));
}

void held_attempt::sendStart(held_task &Task, time_point Now) {
  Task.Phase = task_phase::Starting;
  Task.SentAt = Now;
  // A repeated start must not outlive the lease that the lead granted.
  const duration Left = std::min(Lease, LeaseUntil - Now);
  grant(Task, Now);
  Calls.start(idOf(Task), Task.Task, Command, Left);
}

void held_attempt::sendStop(held_task &Task, time_point Now) {
  Task.SentAt = Now;
  Task.StopSent = true;
  Calls.stop(idOf(Task));
}

void held_attempt::beginStop(bool Checkpoint, time_point Now) {
  if (Phase == phase::Stopping || Phase == phase::Over)
    return;
  Phase = phase::Stopping;
  CheckpointUntil = Now + Timing.CheckpointLimit;
  for (held_task &Task : Tasks) {
    if (Task.Phase == task_phase::Held)
      end(Task, task_state::Stopped, {});
    if (Checkpoint && Task.Phase == task_phase::Running)
      Task.Checkpoint = checkpoint_step::Wanted;
  }
  advance(Now);
}

void held_attempt::end(held_task &Task, task_state State,
                       std::string_view Detail) {
  if (Task.Phase == task_phase::Over)
    return;
  Task.Phase = task_phase::Over;
  Task.Ended = State;
  Task.Detail = Detail;
}

void held_attempt::expire(time_point Now) {
  if (Phase == phase::Started && mayRun() && Now >= LeaseUntil)
    beginStop(/*Checkpoint=*/false, Now);
}

void held_attempt::advance(time_point Now) {
  for (held_task &Task : Tasks) {
    if (!Task.mayRun())
      continue;
    if (Task.OpenGrants == 0 && Now >= Task.LapsesAt)
      end(Task, task_state::Stopped, "lease lapsed");
    else if (Phase == phase::Stopping)
      advanceStop(Task, Now);
    else if (Task.Phase == task_phase::Starting && Task.OpenGrants == 0 &&
             Now >= Task.SentAt + Timing.RetryInterval)
      sendStart(Task, Now);
  }
  settle(Now);
}

void held_attempt::advanceStop(held_task &Task, time_point Now) {
  if (Task.Checkpoint == checkpoint_step::Wanted) {
    Task.Checkpoint = checkpoint_step::Asked;
    Task.CheckpointCall = Calls.checkpoint(idOf(Task));
  }
  const bool Saving = Task.Checkpoint == checkpoint_step::Asked;
  if (Saving && Now < CheckpointUntil)
    return;
  if (!Task.StopSent || Now >= Task.SentAt + Timing.RetryInterval)
    sendStop(Task, Now);
}

void held_attempt::settle(time_point Now) {
  const bool Ran = Phase == phase::Started || Phase == phase::Stopping;
  if (Ran && every(task_phase::Over)) {
    Phase = phase::Over;
    OverSince = Now;
    return;
  }
  // The rest of a gang that cannot succeed any more is of no use.
  const bool Broken = has(task_state::Failed) || has(task_state::Stopped);
  if (Phase == phase::Started && Broken)
    beginStop(/*Checkpoint=*/false, Now);
}

void held_attempt::onStatus(const task_status &Status, worker_call_id Call) {
  held_task *Task = find(Status.Id.Task);
  if (!Task || Task->Phase == task_phase::Over)
    return;
  switch (Status.State) {
  case task_state::Running:
    if (Task->Checkpoint == checkpoint_step::Asked &&
        Call > Task->CheckpointCall)
      Task->Checkpoint = checkpoint_step::Done;
    [[fallthrough]];
  case task_state::Checkpointing:
    Task->Phase = task_phase::Running;
    Task->KnownSince = Calls.last();
    return;
  case task_state::Finished:
  case task_state::Failed:
  case task_state::Stopped:
    end(*Task, Status.State, Status.Detail);
    return;
  }
}

void held_attempt::onDescribed(std::span<const task_status> All,
                               worker_call_id Call) {
  for (held_task &Task : Tasks) {
    const bool Told = std::ranges::any_of(All, [&](const task_status &Status) {
      return Status.Id == idOf(Task);
    });
    // Only a description asked for after the task was known to run proves
    // that the worker has lost it.
    if (!Told && Task.Phase == task_phase::Running && Call > Task.KnownSince)
      end(Task, task_state::Stopped, "unknown to the worker");
  }
}

void held_attempt::onAnswer(worker_calls::kind Kind, std::uint32_t Index,
                            worker_answer Outcome, time_point Now) {
  held_task *Task = find(Index);
  if (!Task)
    return;
  const bool Refused = Outcome == worker_answer::Refused;
  const bool Answered = Outcome == worker_answer::Answered;
  switch (Kind) {
  case worker_calls::kind::Describe:
    return;
  case worker_calls::kind::Start:
    --Task->OpenGrants;
    CallFailed = CallFailed || !Answered;
    if (Refused && Task->Phase == task_phase::Starting)
      end(*Task, task_state::Failed, "refused by the worker");
    break;
  case worker_calls::kind::Renew:
    --Task->OpenGrants;
    CallFailed = CallFailed || !Answered;
    break;
  case worker_calls::kind::Checkpoint:
    if (!Answered)
      Task->Checkpoint = checkpoint_step::Done;
    return;
  case worker_calls::kind::Stop:
    // Whether it has stopped is told by the task's state only.
    return;
  }
  // A grant that got no answer may have reached the worker as late as now.
  if (Outcome == worker_answer::Unanswered)
    Task->LapsesAt =
        std::max(Task->LapsesAt, Now + Timing.leaseExpiryBound(Lease));
}

bool held_attempt::has(task_state Ended) const {
  return std::ranges::any_of(Tasks, [&](const held_task &Task) {
    return Task.Phase == task_phase::Over && Task.Ended == Ended;
  });
}

bool held_attempt::every(task_phase Wanted) const {
  return std::ranges::all_of(
      Tasks, [&](const held_task &Task) { return Task.Phase == Wanted; });
}

bool held_attempt::mayRun() const {
  return std::ranges::any_of(Tasks, &held_task::mayRun);
}

accelerator_mask held_attempt::accelerators() const {
  accelerator_mask Mask = 0;
  for (const held_task &Task : Tasks)
    Mask |= Task.Task.Assignment.Accelerators;
  return Mask;
}

member_state held_attempt::state() const {
  switch (Phase) {
  case phase::Waiting:
    return member_state::Waiting;
  case phase::Prepared:
    return member_state::Prepared;
  case phase::Stopping:
    return member_state::Stopping;
  case phase::Started:
    break;
  case phase::Over:
    if (has(task_state::Failed))
      return member_state::Failed;
    if (Tasks.empty() || has(task_state::Stopped))
      return member_state::Stopped;
    return member_state::Finished;
  }
  const bool Pends = std::ranges::any_of(Tasks, [](const held_task &Task) {
    return Task.Phase == task_phase::Held || Task.Phase == task_phase::Starting;
  });
  return Pends ? member_state::Prepared : member_state::Running;
}

member_report held_attempt::report() const {
  member_report Report;
  Report.State = state();
  if (CallFailed && Phase == phase::Started)
    Report.Refusal = gang_refusal::NotReady;
  if (stopping() || Report.State == member_state::Stopped)
    Report.Refusal = gang_refusal::StaleToken;
  for (const held_task &Task : Tasks) {
    if (Report.Detail.empty())
      Report.Detail = Task.Detail;
  }
  return Report;
}

time_point held_attempt::nextWakeup() const {
  time_point Next = time_point::max();
  if (!mayRun())
    return Next;
  if (Phase == phase::Started)
    Next = LeaseUntil;
  for (const held_task &Task : Tasks) {
    if (!Task.mayRun())
      continue;
    if (Task.OpenGrants == 0)
      Next = std::min(Next, Task.LapsesAt);
    if (Phase == phase::Stopping && !Task.StopSent)
      Next = std::min(Next, CheckpointUntil);
    else if (Phase == phase::Stopping ||
             (Task.Phase == task_phase::Starting && Task.OpenGrants == 0))
      Next = std::min(Next, Task.SentAt + Timing.RetryInterval);
  }
  return Next;
}

std::vector<reply_handle> held_attempt::takeAnswered() {
  const bool Open = std::ranges::any_of(
      Tasks, [](const held_task &Task) { return Task.OpenGrants > 0; });
  if (Open && Phase == phase::Started)
    return {};
  if (!Pending.empty())
    CallFailed = false;
  return std::exchange(Pending, {});
}

} // namespace geraniumpaddle
