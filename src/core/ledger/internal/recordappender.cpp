#include "core/ledger/recordappender.h"
#include "core/base/membertable.h"

#include <algorithm>

namespace geraniumpaddle {

record_appender::record_appender(node_id Node, incarnation Incarnation,
                                 appender_settings Settings)
    : Node(std::move(Node)), Incarnation(Incarnation), Settings(Settings) {}

std::span<const appender_command>
record_appender::handle(const appender_event &Event, time_point Now) {
  using table = member_table<
      &record_appender::onProposal, &record_appender::onAppendFinished,
      &record_appender::onRecordApplied, &record_appender::onTimerExpired,
      &record_appender::onClosed>;
  Commands.clear();
  table::dispatch(*this, Event, Now);
  expireProposals(Now);
  appendNext(Now);
  return Commands;
}

void record_appender::onProposal(const proposal_made &Request, time_point Now) {
  proposal Proposal;
  Proposal.Id = Request.Id;
  Proposal.Record.Actor = Request.Actor;
  Proposal.Record.At = Request.At;
  Proposal.Record.Body = Request.Body;
  Proposal.Deadline = Now + Request.Timeout;
  if (Closed) {
    answer(Proposal, proposal_outcome::NotRun, not_run_cause::ShuttingDown);
    return;
  }
  if (Queue.size() >= Settings.MaxQueued) {
    answer(Proposal, proposal_outcome::NotRun, not_run_cause::QueueFull);
    return;
  }
  Proposal.Record.Producer = {Node, Incarnation, NextSequence++};
  Queue.push_back(std::move(Proposal));
}

void record_appender::onAppendFinished(const append_finished &Result,
                                       time_point Now) {
  AppendInFlight = false;
  for (proposal &Proposal : Undecided) {
    if (!Proposal.InFlight)
      continue;
    Proposal.InFlight = false;
    Proposal.Confirmed |= Result.Status == append_status::Appended;
    Proposal.MayBeInLog |= Result.Status != append_status::NotAppended;
  }
  if (Result.Status == append_status::Appended) {
    RetryDelay = {};
    return;
  }
  requeueNotAppended();
  RetryDelay = RetryDelay == duration{}
                   ? Settings.FirstRetryDelay
                   : std::min(RetryDelay * 2, Settings.MaxRetryDelay);
  NextAppendAt = Now + RetryDelay;
}

void record_appender::requeueNotAppended() {
  // From the back, so that the records keep their order in the queue.
  for (std::size_t Index = Undecided.size(); Index > 0; --Index) {
    proposal &Proposal = Undecided[Index - 1];
    if (!Proposal.InFlight && !Proposal.MayBeInLog)
      Queue.push_front(std::move(Proposal));
  }
  std::erase_if(Undecided, [](const proposal &Proposal) {
    return !Proposal.InFlight && !Proposal.MayBeInLog;
  });
}

void record_appender::onRecordApplied(const record_applied &Applied,
                                      time_point /*Now*/) {
  // The first occurrence of a record in the log decides its proposal; the
  // rejection of a duplicate does not.
  if (Applied.Producer.Node != Node ||
      Applied.Producer.Incarnation != Incarnation ||
      Applied.Verdict.Reason == rejection::Duplicate)
    return;
  auto Found = std::find_if(
      Undecided.begin(), Undecided.end(), [&](const proposal &Proposal) {
        return Proposal.Record.Producer.Sequence == Applied.Producer.Sequence;
      });
  if (Found == Undecided.end())
    return;
  proposal_answered Answer;
  Answer.Id = Found->Id;
  Answer.Outcome = proposal_outcome::Decided;
  Answer.Offset = Applied.Offset;
  Answer.Verdict = Applied.Verdict;
  Commands.emplace_back(Answer);
  Undecided.erase(Found);
}

void record_appender::onTimerExpired(const appender_timer_expired & /*Expired*/,
                                     time_point /*Now*/) {}

void record_appender::onClosed(const appender_closed & /*Closed*/,
                               time_point /*Now*/) {
  Closed = true;
}

void record_appender::answer(const proposal &Proposal, proposal_outcome Outcome,
                             not_run_cause Cause) {
  proposal_answered Answer;
  Answer.Id = Proposal.Id;
  Answer.Outcome = Outcome;
  Answer.Cause = Cause;
  Commands.emplace_back(Answer);
}

void record_appender::expireProposals(time_point Now) {
  auto Expired = [Now](const proposal &Proposal) {
    return Proposal.Deadline <= Now;
  };
  for (const proposal &Proposal : Queue)
    if (Expired(Proposal))
      answer(Proposal, proposal_outcome::NotRun, not_run_cause::LogUnavailable);
  for (const proposal &Proposal : Undecided)
    if (Expired(Proposal))
      answer(Proposal, proposal_outcome::Undetermined, not_run_cause::None);
  std::erase_if(Queue, Expired);
  std::erase_if(Undecided, Expired);
}

bool record_appender::needsAppend(const proposal &Proposal,
                                  time_point Now) const {
  return !Proposal.Confirmed ||
         Now >= Proposal.AppendedAt + Settings.ReadBackTimeout;
}

void record_appender::addRetries(std::vector<record> &Batch, time_point Now) {
  for (proposal &Proposal : Undecided) {
    if (Batch.size() == Settings.MaxBatch)
      return;
    if (!needsAppend(Proposal, Now))
      continue;
    Proposal.InFlight = true;
    Proposal.Confirmed = false;
    Proposal.AppendedAt = Now;
    Batch.push_back(Proposal.Record);
  }
}

void record_appender::addQueued(std::vector<record> &Batch, time_point Now) {
  while (!Queue.empty() && Batch.size() < Settings.MaxBatch &&
         Undecided.size() < Settings.MaxUndecided) {
    proposal Proposal = std::move(Queue.front());
    Queue.pop_front();
    Proposal.InFlight = true;
    Proposal.AppendedAt = Now;
    Batch.push_back(Proposal.Record);
    Undecided.push_back(std::move(Proposal));
  }
}

void record_appender::appendNext(time_point Now) {
  if (AppendInFlight || Now < NextAppendAt)
    return;
  append_records Append;
  addRetries(Append.Records, Now);
  addQueued(Append.Records, Now);
  if (Append.Records.empty())
    return;
  AppendInFlight = true;
  NextAppendAt = Now + Settings.MinAppendInterval;
  Commands.emplace_back(std::move(Append));
}

std::optional<time_point> record_appender::nextTimerAt() const {
  std::optional<time_point> Earliest;
  auto Consider = [&Earliest](time_point At) {
    Earliest = Earliest ? std::min(*Earliest, At) : At;
  };
  for (const proposal &Proposal : Queue)
    Consider(Proposal.Deadline);
  for (const proposal &Proposal : Undecided)
    Consider(Proposal.Deadline);
  if (AppendInFlight)
    return Earliest;
  if (!Queue.empty() && Undecided.size() < Settings.MaxUndecided)
    Consider(NextAppendAt);
  for (const proposal &Proposal : Undecided)
    Consider(Proposal.Confirmed
                 ? std::max(NextAppendAt,
                            Proposal.AppendedAt + Settings.ReadBackTimeout)
                 : NextAppendAt);
  return Earliest;
}

std::vector<producer> record_appender::undecided() const {
  std::vector<producer> Producers;
  for (const proposal &Proposal : Undecided)
    Producers.push_back(Proposal.Record.Producer);
  return Producers;
}

bool record_appender::idle() const {
  return Queue.empty() && Undecided.empty() && !AppendInFlight;
}

} // namespace geraniumpaddle
