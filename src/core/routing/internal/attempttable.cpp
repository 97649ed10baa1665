#include "core/routing/attempttable.h"

#include "core/base/membertable.h"

#include <algorithm>

namespace geraniumpaddle {

attempt_table::attempt_table(const attempt_settings &Settings, incarnation Self)
    : Settings(Settings), Self(Self), Queue(Settings.QueueLimit) {}

std::span<const attempt_command>
attempt_table::handle(const attempt_event &Event, time_point Now) {
  using handlers =
      member_table<&attempt_table::onDelivery, &attempt_table::onQuery,
                   &attempt_table::onEndpointFinished, &attempt_table::onDrain,
                   &attempt_table::onTimerExpired>;
  Commands.clear();
  handlers::dispatch(*this, Event, Now);
  finishEvent(Now);
  return Commands;
}

agent_load attempt_table::load() const {
  return {Running, static_cast<std::uint32_t>(Queue.size())};
}

void attempt_table::onDelivery(const delivery_arrived &Event, time_point Now) {
  const auto Known = Attempts.find(Event.Attempt);
  if (Event.Target != Self)
    // A duplicate may have reached the addressed incarnation, so this does not
    // prove that the attempt was not run.
    report(Event.Call, Event.Attempt, attempt_state::OtherIncarnation,
           attempt_refusal::WrongIncarnation);
  else if (Known != Attempts.end())
    return handleDuplicate(Event, Known->second);
  else if (evicted(Event.Attempt))
    report(Event.Call, Event.Attempt, attempt_state::Undetermined,
           attempt_refusal::None);
  else
    return accept(Event, Now);
  if (Known == Attempts.end())
    Commands.emplace_back(release_attempt{Event.Attempt});
}

void attempt_table::accept(const delivery_arrived &Event, time_point Now) {
  if (Draining)
    return refuse(Event, attempt_refusal::Draining, Now);
  if (Event.Timeout <= duration::zero())
    return refuse(Event, attempt_refusal::DeadlineExpired, Now);
  attempt &Attempt = Attempts[Event.Attempt];
  Attempt.Customer = Event.Customer;
  Attempt.Deadline = Now + std::min(Event.Timeout, Settings.MaxTimeout);
  Attempt.WaitingCalls.push_back(Event.Call);
  if (Running < Settings.Slots)
    start(Event.Attempt, Attempt, Now);
  else
    enqueue(Event.Attempt, Attempt, Now);
}

void attempt_table::handleDuplicate(const delivery_arrived &Event,
                                    attempt &Known) {
  if (Known.Phase == phase::Queued || Known.Phase == phase::Running)
    Known.WaitingCalls.push_back(Event.Call);
  else
    reportKnown(Event.Call, Event.Attempt, Known);
}

/// Records the refusal, so that a duplicate that arrives after the refusal was
/// reported is refused as well.
void attempt_table::refuse(const delivery_arrived &Event,
                           attempt_refusal Refusal, time_point Now) {
  attempt &Attempt = Attempts[Event.Attempt];
  Attempt.WaitingCalls.push_back(Event.Call);
  resolve(Event.Attempt, Attempt, phase::NotRun, Refusal, Now);
}

void attempt_table::enqueue(const attempt_id &Id, attempt &Attempt,
                            time_point Now) {
  QueueExpiry = std::min(QueueExpiry, Attempt.Deadline);
  const std::optional<attempt_id> Displaced = Queue.push(Attempt.Customer, Id);
  if (Displaced)
    resolve(*Displaced, Attempts.at(*Displaced), phase::NotRun,
            attempt_refusal::QueueFull, Now);
}

void attempt_table::start(const attempt_id &Id, attempt &Attempt,
                          time_point Now) {
  Attempt.Phase = phase::Running;
  ++Running;
  Commands.emplace_back(call_endpoint{Id, Attempt.Deadline - Now});
}

void attempt_table::startQueued(time_point Now) {
  while (Running < Settings.Slots && !Queue.empty()) {
    const attempt_id Id = *Queue.pop();
    start(Id, Attempts.at(Id), Now);
  }
}

void attempt_table::onQuery(const query_arrived &Event, time_point Now) {
  const auto Known = Attempts.find(Event.Attempt);
  if (Event.Target != Self)
    report(Event.Call, Event.Attempt, attempt_state::OtherIncarnation,
           attempt_refusal::WrongIncarnation);
  else if (Known != Attempts.end())
    reportKnown(Event.Call, Event.Attempt, Known->second);
  else if (evicted(Event.Attempt))
    report(Event.Call, Event.Attempt, attempt_state::Undetermined,
           attempt_refusal::None);
  else
    bar(Event, Now);
}

void attempt_table::bar(const query_arrived &Event, time_point Now) {
  attempt &Attempt = Attempts[Event.Attempt];
  resolve(Event.Attempt, Attempt, phase::NotRun, attempt_refusal::Barred, Now);
  report(Event.Call, Event.Attempt, attempt_state::Barred,
         attempt_refusal::Barred);
}

void attempt_table::onEndpointFinished(const endpoint_finished &Event,
                                       time_point Now) {
  const auto Known = Attempts.find(Event.Attempt);
  if (Known == Attempts.end() || Known->second.Phase != phase::Running)
    return;
  --Running;
  attempt &Attempt = Known->second;
  Attempt.AnswerBytes = Event.AnswerBytes;
  switch (Event.Result) {
  case endpoint_result::Answered:
    return resolve(Event.Attempt, Attempt, phase::Answered,
                   attempt_refusal::None, Now);
  case endpoint_result::NotSent:
    return resolve(Event.Attempt, Attempt, phase::NotRun,
                   attempt_refusal::EndpointDown, Now);
  case endpoint_result::Lost:
    return resolve(Event.Attempt, Attempt, phase::Undetermined,
                   attempt_refusal::None, Now);
  }
}

void attempt_table::onDrain(const agent_drain_started &, time_point Now) {
  Draining = true;
  LastActivity = Now;
}

void attempt_table::onTimerExpired(const agent_timer_expired &, time_point) {
  ArmedTimer = time_point::max();
}

/// Moves an attempt to its final phase and replies to every call waiting for
/// it.
void attempt_table::resolve(const attempt_id &Id, attempt &Attempt, phase Phase,
                            attempt_refusal Refusal, time_point Now) {
  Attempt.Phase = Phase;
  Attempt.Refusal = Refusal;
  for (const call_handle Call : Attempt.WaitingCalls)
    reportKnown(Call, Id, Attempt);
  Attempt.WaitingCalls = {};
  Resolved.push_back({Now, Id});
  LastActivity = Now;
  if (Phase == phase::Answered)
    keepAnswer(Id, Attempt);
  else
    Commands.emplace_back(release_attempt{Id});
}

/// Counts the answer and evicts the oldest answers above MaxAnswerBytes.
void attempt_table::keepAnswer(const attempt_id &Id, attempt &Attempt) {
  Answers.push_back(Id);
  AnswerBytes += Attempt.AnswerBytes;
  while (AnswerBytes > Settings.MaxAnswerBytes) {
    const attempt_id Oldest = Answers.front();
    Answers.pop_front();
    attempt &Dropped = Attempts.at(Oldest);
    AnswerBytes -= Dropped.AnswerBytes;
    Dropped.Phase = phase::Undetermined;
    Commands.emplace_back(release_attempt{Oldest});
  }
}

void attempt_table::expireQueued(time_point Now) {
  if (Now < QueueExpiry)
    return;
  const std::vector<attempt_id> Expired = Queue.removeIf(
      [&](const attempt_id &Id) { return Attempts.at(Id).Deadline <= Now; });
  for (const attempt_id &Id : Expired)
    resolve(Id, Attempts.at(Id), phase::NotRun,
            attempt_refusal::DeadlineExpired, Now);
  QueueExpiry = time_point::max();
  Queue.forEach([this](const attempt_id &Id) {
    QueueExpiry = std::min(QueueExpiry, Attempts.at(Id).Deadline);
  });
}

void attempt_table::evictExpired(time_point Now) {
  while (!Resolved.empty() &&
         (Resolved.front().At + Settings.Retention <= Now ||
          Resolved.size() > Settings.MaxRetainedAttempts))
    evictOldest();
}

void attempt_table::evictOldest() {
  const attempt_id Id = Resolved.front().Id;
  Resolved.pop_front();
  const auto Known = Attempts.find(Id);
  if (Known->second.Phase == phase::Answered) {
    // Answers and Resolved have the same order, so this answer is the oldest.
    Answers.pop_front();
    AnswerBytes -= Known->second.AnswerBytes;
    Commands.emplace_back(release_attempt{Id});
  }
  Attempts.erase(Known);
  std::uint64_t &Watermark = Watermarks[{Id.Entry, Id.EntryIncarnation}];
  Watermark = std::max(Watermark, Id.Number);
}

bool attempt_table::evicted(const attempt_id &Id) const {
  const auto Watermark = Watermarks.find({Id.Entry, Id.EntryIncarnation});
  return Watermark != Watermarks.end() && Id.Number <= Watermark->second;
}

void attempt_table::finishEvent(time_point Now) {
  expireQueued(Now);
  startQueued(Now);
  evictExpired(Now);
  finishDrain(Now);
  const time_point NextTimer = nextTimerAt();
  if (NextTimer < ArmedTimer) {
    ArmedTimer = NextTimer;
    Commands.emplace_back(set_agent_timer{NextTimer});
  }
}

void attempt_table::finishDrain(time_point Now) {
  const bool LingerOver = idle() && LastActivity + Settings.DrainLinger <= Now;
  if (!Draining || DrainReported || !LingerOver)
    return;
  DrainReported = true;
  Commands.emplace_back(agent_drained{});
}

time_point attempt_table::nextTimerAt() const {
  time_point NextTimer = time_point::max();
  if (Draining && !DrainReported && idle())
    NextTimer = LastActivity + Settings.DrainLinger;
  if (!Resolved.empty())
    NextTimer = std::min(NextTimer, Resolved.front().At + Settings.Retention);
  if (!Queue.empty())
    NextTimer = std::min(NextTimer, QueueExpiry);
  return NextTimer;
}

void attempt_table::report(call_handle Call, const attempt_id &Id,
                           attempt_state State, attempt_refusal Refusal) {
  Commands.emplace_back(report_attempt{Call, Id, State, Refusal, load()});
}

void attempt_table::reportKnown(call_handle Call, const attempt_id &Id,
                                const attempt &Known) {
  switch (Known.Phase) {
  case phase::Queued:
  case phase::Running:
    return report(Call, Id, attempt_state::Running, Known.Refusal);
  case phase::Answered:
    return report(Call, Id, attempt_state::Answered, Known.Refusal);
  case phase::NotRun:
    return report(Call, Id, attempt_state::NotRun, Known.Refusal);
  case phase::Undetermined:
    return report(Call, Id, attempt_state::Undetermined, Known.Refusal);
  }
}

} // namespace geraniumpaddle
