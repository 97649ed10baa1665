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
                   &gang_member::onWakeup>;
  Commands.clear();
  if (Wakeup != time_point::max() && Now > Wakeup + Timing.DeliveryMargin)
    TrustFrom = Now + Timing.DeliveryMargin;
  for (auto &[Token, Attempt] : Attempts)
    Attempt.expire(Now);
  table::dispatch(*this, Event, Now);
  for (auto &[Token, Attempt] : Attempts)
    Attempt.advance(Now);
  admitWaiting();
  flushReplies();
  forgetOld(Now);
  poll(Now);
  chooseWakeup(Now);
  return Commands;
}

void gang_member::onStarted(const agent_started & /*Event*/, time_point Now) {
  Started = true;
  StartedAt = Now;
}

void gang_member::onWakeup(const gang_timer_expired & /*Event*/,
                           time_point /*Now*/) {}

void gang_member::onPrepare(const peer_request<prepare_tasks> &Event,
                            time_point Now) {
  const prepare_tasks &Message = Event.Body;
  if (!Ready)
    return reply(Event.Reply, {gang_refusal::NotReady, {}, {}});
  if (Message.Tasks.empty())
    return reply(Event.Reply, {gang_refusal::Invalid, {}, {}});
  held_attempt *Known = find(Message.Token);
  if (!Known && isStale(Message))
    return reply(Event.Reply, {gang_refusal::StaleToken, {}, {}});
  if (!Known) {
    create(Message.Token).assign(Message);
    displace(Message, Now);
    admitWaiting();
  } else if (Known->adopted()) {
    Known->assign(Message);
    Known->advance(Now);
  }
  reply(Event.Reply, find(Message.Token)->report());
}

void gang_member::onStart(const peer_request<start_tasks> &Event,
                          time_point Now) {
  if (!Ready || Now < TrustFrom)
    return reply(Event.Reply, {gang_refusal::NotReady, {}, {}});
  held_attempt *Attempt = find(Event.Body.Token);
  if (!Attempt)
    return reply(Event.Reply, {gang_refusal::None, {}, {}});
  if (Attempt->adopted())
    return reply(Event.Reply, {gang_refusal::None, member_state::Waiting, {}});
  if (Attempt->waiting() || Attempt->stopping() || Attempt->over())
    return reply(Event.Reply, Attempt->report());
  Attempt->start(Event.Body.Lease, Event.Reply, Now);
}

void gang_member::onRenew(const peer_request<renew_tasks> &Event,
                          time_point Now) {
  if (!Ready || Now < TrustFrom)
    return reply(Event.Reply, {gang_refusal::NotReady, {}, {}});
  held_attempt *Attempt = find(Event.Body.Token);
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
  held_attempt *Attempt = find(Event.Body.Token);
  if (Attempt)
    Attempt->beginStop(Event.Body.Checkpoint, Now);
  else
    bar(Event.Body.Token, Now);
  member_report Report = find(Event.Body.Token)->report();
  Report.Refusal = gang_refusal::None;
  reply(Event.Reply, Report);
}

void gang_member::onWorkerAnswered(const worker_answered &Event,
                                   time_point Now) {
  const auto Call = Calls.close(Event.Call);
  if (!Call)
    return;
  for (const task_status &Status : Event.Tasks)
    onStatus(Status, Event.Call, Now);
  if (Call->Kind == worker_calls::kind::Describe)
    return onDescribed(Event, Now);
  for (const gang_task_id &Id : Call->Ids) {
    if (held_attempt *Attempt = find(Id.Token))
      Attempt->onAnswer(Call->Kind, Id.Task, Event.Outcome, Now);
  }
}

void gang_member::onStatus(const task_status &Status, worker_call_id Call,
                           time_point Now) {
  const bool Runs = Status.State == task_state::Running ||
                    Status.State == task_state::Checkpointing;
  held_attempt *Known = find(Status.Id.Token);
  if (Known && Known->over() && Runs) {
    Calls.stop(Status.Id);
    return;
  }
  if (Known && !Known->adopted())
    return Known->onStatus(Status, Call);
  if (Known)
    return Known->adopt(Status, Call, Now);
  held_attempt &Adopted = create(Status.Id.Token);
  Adopted.adopt(Status, Call, Now);
  // Not known although the worker was asked before: a start that came late.
  if (Ready)
    Adopted.beginStop(/*Checkpoint=*/false, Now);
}

void gang_member::onDescribed(const worker_answered &Event, time_point Now) {
  DescribeOpen = false;
  if (Event.Outcome != worker_answer::Answered || !Event.Complete)
    return;
  for (auto &[Token, Attempt] : Attempts) {
    Attempt.onDescribed(Event.Tasks, Event.Call);
    Attempt.expire(Now);
  }
  // A start that an earlier run of this agent sent may still be on its way.
  Ready = Ready || DescribedAt >= StartedAt + Timing.DeliveryMargin;
}

held_attempt *gang_member::find(fencing_token Token) {
  const auto Found = Attempts.find(Token);
  return Found == Attempts.end() ? nullptr : &Found->second;
}

held_attempt &gang_member::create(fencing_token Token) {
  return Attempts.try_emplace(Token, Token, Timing, Calls).first->second;
}

void gang_member::bar(fencing_token Token, time_point Now) {
  create(Token).bar(Now);
}

bool gang_member::isStale(const prepare_tasks &Message) const {
  accelerator_mask Wanted = 0;
  for (const gang_task &Task : Message.Tasks)
    Wanted |= Task.Assignment.Accelerators;
  return std::any_of(Attempts.upper_bound(Message.Token), Attempts.end(),
                     [&](const auto &Entry) {
                       const held_attempt &Later = Entry.second;
                       return (Later.accelerators() & Wanted) != 0 ||
                              std::ranges::count(Later.victims(),
                                                 Message.Token) != 0;
                     });
}

void gang_member::displace(const prepare_tasks &Message, time_point Now) {
  for (const fencing_token Victim : Message.Victims) {
    if (held_attempt *Attempt = find(Victim))
      Attempt->beginStop(/*Checkpoint=*/true, Now);
    else
      bar(Victim, Now);
  }
  const accelerator_mask Wanted = find(Message.Token)->accelerators();
  for (auto &[Token, Attempt] : Attempts) {
    if (Token < Message.Token && (Attempt.accelerators() & Wanted) != 0)
      Attempt.beginStop(/*Checkpoint=*/false, Now);
  }
}

bool gang_member::isClear(fencing_token Token,
                          const held_attempt &Attempt) const {
  const accelerator_mask Wanted = Attempt.accelerators();
  return std::ranges::none_of(Attempts, [&](const auto &Entry) {
    const auto &[Other, Holder] = Entry;
    const bool InTheWay = (Holder.accelerators() & Wanted) != 0 ||
                          std::ranges::count(Attempt.victims(), Other) != 0;
    return Other != Token && InTheWay && Holder.mayRun();
  });
}

void gang_member::admitWaiting() {
  for (auto &[Token, Attempt] : Attempts) {
    if (Attempt.waiting() && isClear(Token, Attempt))
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
  const bool Hurried =
      !Ready || std::ranges::any_of(Attempts, [](const auto &Entry) {
        return Entry.second.stopping();
      });
  return Hurried ? Timing.RetryInterval : Timing.PollInterval;
}

void gang_member::poll(time_point Now) {
  const bool Wanted = Started && (!Ready || busy());
  const bool Never = Calls.last() == worker_call_id{};
  if (!Wanted || DescribeOpen)
    return;
  if (!Never && Now < DescribedAt + pollInterval())
    return;
  DescribeOpen = true;
  DescribedAt = Now;
  Calls.describe();
}

void gang_member::forgetOld(time_point Now) {
  std::erase_if(Attempts, [&](const auto &Entry) {
    const held_attempt &Attempt = Entry.second;
    return Attempt.over() && Now >= Attempt.overSince() + Timing.Retention;
  });
}

void gang_member::flushReplies() {
  for (auto &[Token, Attempt] : Attempts) {
    const member_report Report = Attempt.report();
    for (const reply_handle &Reply : Attempt.takeAnswered())
      reply(Reply, Report);
  }
}

void gang_member::chooseWakeup(time_point Now) {
  Wakeup = time_point::max();
  for (const auto &[Token, Attempt] : Attempts)
    Wakeup = std::min(Wakeup, Attempt.nextWakeup());
  if (Started && !DescribeOpen && (!Ready || busy()))
    Wakeup = std::min(Wakeup, DescribedAt + pollInterval());
  const bool Holds = std::ranges::any_of(
      Attempts, [](const auto &Entry) { return !Entry.second.over(); });
  // A wake-up that comes late tells of a pause.
  if (Holds)
    Wakeup = std::min(Wakeup, Now + Timing.PollInterval);
}

void gang_member::reply(const reply_handle &Reply,
                        const member_report &Report) {
  Commands.emplace_back(gang_reply{Reply, Report});
}

} // namespace geraniumpaddle
