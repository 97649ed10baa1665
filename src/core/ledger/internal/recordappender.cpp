#include "core/ledger/recordappender.h"
#include "core/base/membertable.h"

#include <algorithm>

namespace geraniumpaddle {

record_appender::record_appender(node_id Node, incarnation Run,
                                 appender_settings Settings)
    : Node(std::move(Node)), Run(Run), Settings(Settings) {}

std::span<const appender_command>
record_appender::handle(const appender_event &Event, time_point Now) {
  using table =
      member_table<&record_appender::onProposal,
                   &record_appender::onAppendFinished,
                   &record_appender::onRecordFolded, &record_appender::onWoken,
                   &record_appender::onClosed>;
  Commands.clear();
  table::dispatch(*this, Event, Now);
  expire(Now);
  appendNext(Now);
  return Commands;
}

void record_appender::onProposal(const proposal_made &Proposal,
                                 time_point Now) {
  item Item;
  Item.Id = Proposal.Id;
  Item.Record.Actor = Proposal.Actor;
  Item.Record.At = Proposal.At;
  Item.Record.Body = Proposal.Body;
  Item.Deadline = Now + Proposal.Timeout;
  if (Closed) {
    answer(Item, proposal_outcome::NotRun, not_run_cause::ShuttingDown);
    return;
  }
  if (Queue.size() >= Settings.MaxQueued) {
    answer(Item, proposal_outcome::NotRun, not_run_cause::QueueFull);
    return;
  }
  Item.Record.Producer = {Node, Run, NextSequence++};
  Queue.push_back(std::move(Item));
}

void record_appender::onAppendFinished(const append_finished &Finished,
                                       time_point Now) {
  AppendInFlight = false;
  for (item &Item : Pending) {
    if (!Item.InFlight)
      continue;
    Item.InFlight = false;
    Item.Confirmed |= Finished.Status == append_status::Appended;
    Item.MayBeInLog |= Finished.Status != append_status::NotAppended;
  }
  if (Finished.Status == append_status::Appended) {
    RetryDelay = {};
    return;
  }
  returnToQueue();
  RetryDelay = RetryDelay == duration{}
                   ? Settings.FirstRetryDelay
                   : std::min(RetryDelay * 2, Settings.MaxRetryDelay);
  NextAppendAt = Now + RetryDelay;
}

void record_appender::returnToQueue() {
  // From the back, so that the records keep their order.
  for (std::size_t Index = Pending.size(); Index > 0; --Index) {
    item &Item = Pending[Index - 1];
    if (!Item.InFlight && !Item.MayBeInLog)
      Queue.push_front(std::move(Item));
  }
  std::erase_if(Pending, [](const item &Item) {
    return !Item.InFlight && !Item.MayBeInLog;
  });
}

void record_appender::onRecordFolded(const record_folded &Folded,
                                     time_point /*Now*/) {
  // The first fold of a record decides it; a repeat says nothing new.
  if (Folded.Producer.Node != Node || Folded.Producer.Incarnation != Run ||
      Folded.Verdict.Reason == rejection::Repeated)
    return;
  auto Found =
      std::find_if(Pending.begin(), Pending.end(), [&](const item &Item) {
        return Item.Record.Producer.Sequence == Folded.Producer.Sequence;
      });
  if (Found == Pending.end())
    return;
  proposal_answered Answer;
  Answer.Id = Found->Id;
  Answer.Outcome = proposal_outcome::Decided;
  Answer.Offset = Folded.Offset;
  Answer.Verdict = Folded.Verdict;
  Commands.emplace_back(Answer);
  Pending.erase(Found);
}

void record_appender::onWoken(const appender_woken & /*Woken*/,
                              time_point /*Now*/) {}

void record_appender::onClosed(const appender_closed & /*Closed*/,
                               time_point /*Now*/) {
  Closed = true;
}

void record_appender::answer(const item &Item, proposal_outcome Outcome,
                             not_run_cause Cause) {
  proposal_answered Answer;
  Answer.Id = Item.Id;
  Answer.Outcome = Outcome;
  Answer.Cause = Cause;
  Commands.emplace_back(Answer);
}

void record_appender::expire(time_point Now) {
  auto Expired = [Now](const item &Item) { return Item.Deadline <= Now; };
  for (const item &Item : Queue)
    if (Expired(Item))
      answer(Item, proposal_outcome::NotRun, not_run_cause::LogUnavailable);
  for (const item &Item : Pending)
    if (Expired(Item))
      answer(Item, proposal_outcome::Undetermined, not_run_cause::None);
  std::erase_if(Queue, Expired);
  std::erase_if(Pending, Expired);
}

bool record_appender::due(const item &Item, time_point Now) const {
  return !Item.Confirmed || Now >= Item.AppendedAt + Settings.ReadBackTimeout;
}

void record_appender::addRetries(std::vector<record> &Batch, time_point Now) {
  for (item &Item : Pending) {
    if (Batch.size() == Settings.MaxBatch)
      return;
    if (!due(Item, Now))
      continue;
    Item.InFlight = true;
    Item.Confirmed = false;
    Item.AppendedAt = Now;
    Batch.push_back(Item.Record);
  }
}

void record_appender::addQueued(std::vector<record> &Batch, time_point Now) {
  while (!Queue.empty() && Batch.size() < Settings.MaxBatch &&
         Pending.size() < Settings.MaxUndecided) {
    item Item = std::move(Queue.front());
    Queue.pop_front();
    Item.InFlight = true;
    Item.AppendedAt = Now;
    Batch.push_back(Item.Record);
    Pending.push_back(std::move(Item));
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

std::optional<time_point> record_appender::wakeUpAt() const {
  std::optional<time_point> Wake;
  auto Consider = [&Wake](time_point At) {
    Wake = Wake ? std::min(*Wake, At) : At;
  };
  for (const item &Item : Queue)
    Consider(Item.Deadline);
  for (const item &Item : Pending)
    Consider(Item.Deadline);
  if (AppendInFlight)
    return Wake;
  if (!Queue.empty() && Pending.size() < Settings.MaxUndecided)
    Consider(NextAppendAt);
  for (const item &Item : Pending)
    Consider(
        Item.Confirmed
            ? std::max(NextAppendAt, Item.AppendedAt + Settings.ReadBackTimeout)
            : NextAppendAt);
  return Wake;
}

std::vector<producer> record_appender::undecided() const {
  std::vector<producer> Keys;
  for (const item &Item : Pending)
    Keys.push_back(Item.Record.Producer);
  return Keys;
}

bool record_appender::idle() const {
  return Queue.empty() && Pending.empty() && !AppendInFlight;
}

} // namespace geraniumpaddle
