#include "core/gang/gangmember.h"

#include "core/base/membertable.h"

#include <algorithm>

namespace geraniumpaddle {

gang_member::gang_member(const gang_timing &Timing) : Timing(Timing) {}

std::span<const gang_command> gang_member::handle(const member_event &Event,
                                                  time_point Now) {
  using table =
      member_table<&gang_member::onStarted, &gang_member::onPrepare,
                   &gang_member::onStart, &gang_member::onRenew,
                   &gang_member::onStop, &gang_member::onWorkerAnswered,
                   &gang_member::onTimerExpired>;
  Commands.clear();
  if (TimerAt != time_point::max() && Now > TimerAt + Timing.DeliveryMargin)
    AcceptLeasesFrom = Now + Timing.DeliveryMargin;
  for (auto &[Token, Attempt] : Attempts)
    Attempt.expireLease(Now);
  table::dispatch(*this, Event, Now);
  for (auto &[Token, Attempt] : Attempts)
    Attempt.advance(Now);
  prepareWaiting();
  flushReplies();
  removeExpired(Now);
  poll(Now);
  updateTimer(Now);
  return Commands;
}

void gang_member::onStarted(const agent_started & /*Event*/, time_point Now) {
  Started = true;
  StartedAt = Now;
}

void gang_member::onTimerExpired(const gang_timer_expired & /*Event*/,
                                 time_point /*Now*/) {}

void gang_member::onPrepare(const peer_request<prepare_tasks> &Event,
                            time_point Now) {
  const prepare_tasks &Message = Event.Body;
  if (!Ready)
    return reply(Event.Reply, {gang_refusal::NotReady, {}, {}});
  if (Message.Tasks.empty())
    return reply(Event.Reply, {gang_refusal::Invalid, {}, {}});
  member_attempt *Known = find(Message.Token);
  if (!Known && isStale(Message))
    return reply(Event.Reply, {gang_refusal::StaleToken, {}, {}});
  if (!Known) {
    create(Message.Token).assign(Message);
    stopConflicting(Message, Now);
    prepareWaiting();
  } else if (Known->adopted()) {
    Known->assign(Message);
    Known->advance(Now);
  }
  reply(Event.Reply, find(Message.Token)->report());
}

void gang_member::onStart(const peer_request<start_tasks> &Event,
                          time_point Now) {
  if (!Ready || Now < AcceptLeasesFrom)
    return reply(Event.Reply, {gang_refusal::NotReady, {}, {}});
  member_attempt *Attempt = find(Event.Body.Token);
  if (!Attempt)
    return reply(Event.Reply, {gang_refusal::None, {}, {}});
  if (Attempt->adopted())
    return reply(Event.Reply, {gang_refusal::None, member_state::Waiting, {}});
  if (Attempt->waiting() || Attempt->stopping() || Attempt->ended())
    return reply(Event.Reply, Attempt->report());
  Attempt->start(Event.Body.Lease, Event.Reply, Now);
}

void gang_member::onRenew(const peer_request<renew_tasks> &Event,
                          time_point Now) {
  if (!Ready || Now < AcceptLeasesFrom)
    return reply(Event.Reply, {gang_refusal::NotReady, {}, {}});
  member_attempt *Attempt = find(Event.Body.Token);
  if (!Attempt)
    return reply(Event.Reply, {gang_refusal::None, {}, {}});
  if (!Attempt->mayRun() || Attempt->stopping())
    return reply(Event.Reply, Attempt->report());
  Attempt->renew(Event.Body.Lease, Event.Reply, Now);
}

void gang_member::onStop(const peer_request<stop_tasks> &Event,
                         time_point Now) {
  if (!Ready)
    return reply(Event.Reply, {gang_refusal::NotReady, {}, {}});
  member_attempt *Attempt = find(Event.Body.Token);
  if (Attempt)
    Attempt->beginStop(Event.Body.Checkpoint, Now);
  else
    fence(Event.Body.Token, Now);
  member_report Report = find(Event.Body.Token)->report();
  Report.Refusal = gang_refusal::None;
  reply(Event.Reply, Report);
}

void gang_member::onWorkerAnswered(const worker_answered &Event,
                                   time_point Now) {
  const auto Call = Calls.complete(Event.Call);
  if (!Call)
    return;
  for (const task_status &Status : Event.Tasks)
    onStatus(Status, Event.Call, Now);
  if (Call->Kind == worker_calls::kind::Describe)
    return onDescribed(Event, Now);
  for (const gang_task_id &Id : Call->Ids) {
    if (member_attempt *Attempt = find(Id.Token))
      Attempt->onAnswer(Call->Kind, Id.Task, Event.Outcome, Now);
  }
}

void gang_member::onStatus(const task_status &Status, worker_call_id Call,
                           time_point Now) {
  const bool IsRunning = Status.State == task_state::Running ||
                         Status.State == task_state::Checkpointing;
  member_attempt *Known = find(Status.Id.Token);
  if (Known && Known->ended() && IsRunning) {
    Calls.stop(Status.Id);
    return;
  }
  if (Known && !Known->adopted())
    return Known->onStatus(Status, Call);
  if (Known)
    return Known->adopt(Status, Call, Now);
  member_attempt &Adopted = create(Status.Id.Token);
  Adopted.adopt(Status, Call, Now);
  // Missing in the first task list: a start that arrived late.
  if (Ready)
    Adopted.beginStop(/*Checkpoint=*/false, Now);
}

void gang_member::onDescribed(const worker_answered &Event, time_point Now) {
  DescribePending = false;
  if (Event.Outcome != worker_answer::Answered || !Event.Complete)
    return;
  for (auto &[Token, Attempt] : Attempts) {
    Attempt.onDescribed(Event.Tasks, Event.Call);
    Attempt.expireLease(Now);
  }
  // A start sent by the previous incarnation of this agent may still arrive.
  Ready = Ready || LastDescribeAt >= StartedAt + Timing.DeliveryMargin;
}

member_attempt *gang_member::find(fencing_token Token) {
  const auto Found = Attempts.find(Token);
  return Found == Attempts.end() ? nullptr : &Found->second;
}

member_attempt &gang_member::create(fencing_token Token) {
  return Attempts.try_emplace(Token, Token, Timing, Calls).first->second;
}

void gang_member::fence(fencing_token Token, time_point Now) {
  create(Token).fence(Now);
}

bool gang_member::isStale(const prepare_tasks &Message) const {
  accelerator_mask Accelerators = 0;
  for (const gang_task &Task : Message.Tasks)
    Accelerators |= Task.Assignment.Accelerators;
  return std::any_of(Attempts.upper_bound(Message.Token), Attempts.end(),
                     [&](const auto &Entry) {
                       const member_attempt &Later = Entry.second;
                       return (Later.accelerators() & Accelerators) != 0 ||
                              std::ranges::count(Later.victims(),
                                                 Message.Token) != 0;
                     });
}

void gang_member::stopConflicting(const prepare_tasks &Message,
                                  time_point Now) {
  for (const fencing_token Victim : Message.Victims) {
    if (member_attempt *Attempt = find(Victim))
      Attempt->beginStop(/*Checkpoint=*/true, Now);
    else
      fence(Victim, Now);
  }
  const accelerator_mask Accelerators = find(Message.Token)->accelerators();
  for (auto &[Token, Attempt] : Attempts) {
    if (Token < Message.Token && (Attempt.accelerators() & Accelerators) != 0)
      Attempt.beginStop(/*Checkpoint=*/false, Now);
  }
}

bool gang_member::acceleratorsFree(fencing_token Token,
                                   const member_attempt &Attempt) const {
  const accelerator_mask Accelerators = Attempt.accelerators();
  return std::ranges::none_of(Attempts, [&](const auto &Entry) {
    const auto &[Other, Holder] = Entry;
    const bool Conflicts = (Holder.accelerators() & Accelerators) != 0 ||
                           std::ranges::count(Attempt.victims(), Other) != 0;
    return Other != Token && Conflicts && Holder.mayRun();
  });
}

void gang_member::prepareWaiting() {
  for (auto &[Token, Attempt] : Attempts) {
    if (Attempt.waiting() && acceleratorsFree(Token, Attempt))
      Attempt.setPrepared();
  }
}

bool gang_member::busy() const {
  return std::ranges::any_of(
      Attempts, [](const auto &Entry) { return Entry.second.mayRun(); });
}

member_state gang_member::state(fencing_token Token) const {
  const auto Found = Attempts.find(Token);
  return Found == Attempts.end() ? member_state::Unknown
                                 : Found->second.state();
}

duration gang_member::pollInterval() const {
  const bool NeedsFastPolling =
      !Ready || std::ranges::any_of(Attempts, [](const auto &Entry) {
        return Entry.second.stopping();
      });
  return NeedsFastPolling ? Timing.RetryInterval : Timing.PollInterval;
}

void gang_member::poll(time_point Now) {
  const bool PollNeeded = Started && (!Ready || busy());
  const bool NeverPolled = Calls.last() == worker_call_id{};
  if (!PollNeeded || DescribePending)
    return;
  if (!NeverPolled && Now < LastDescribeAt + pollInterval())
    return;
  DescribePending = true;
  LastDescribeAt = Now;
  Calls.describe();
}

void gang_member::removeExpired(time_point Now) {
  std::erase_if(Attempts, [&](const auto &Entry) {
    const member_attempt &Attempt = Entry.second;
    return Attempt.ended() && Now >= Attempt.endedAt() + Timing.Retention;
  });
}

void gang_member::flushReplies() {
  for (auto &[Token, Attempt] : Attempts) {
    const member_report Report = Attempt.report();
    for (const reply_handle &Reply : Attempt.takeAnsweredCalls())
      reply(Reply, Report);
  }
}

void gang_member::updateTimer(time_point Now) {
  TimerAt = time_point::max();
  for (const auto &[Token, Attempt] : Attempts)
    TimerAt = std::min(TimerAt, Attempt.nextTimerAt());
  if (Started && !DescribePending && (!Ready || busy()))
    TimerAt = std::min(TimerAt, LastDescribeAt + pollInterval());
  const bool HasUnfinished = std::ranges::any_of(
      Attempts, [](const auto &Entry) { return !Entry.second.ended(); });
  // A timer that expires late shows that this process was paused.
  if (HasUnfinished)
    TimerAt = std::min(TimerAt, Now + Timing.PollInterval);
}

void gang_member::reply(const reply_handle &Reply,
                        const member_report &Report) {
  Commands.emplace_back(gang_reply{Reply, Report});
}

} // namespace geraniumpaddle
