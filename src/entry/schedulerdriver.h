#pragma once

#include "core/membership/entryrank.h"
#include "core/placement/scheduler.h"
#include "entry/ilogobserver.h"
#include "entry/iproposer.h"
#include "logging/logging.h"
#include "peercodec/peercodec.h"
#include "transport/ieventloop.h"
#include "transport/timer.h"

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace geraniumpaddle {

/// Runs the scheduler whenever the ledger has changed and proposes its
/// decisions. Only one round of proposals is in flight at a time, since each
/// decision depends on the verdicts of the previous one.
class scheduler_driver final : public ilog_observer {
public:
  scheduler_driver(ievent_loop &Loop, iproposer &Log, const entry_rank &Rank,
                   const peer_identity &Self, objective Objective);
  ~scheduler_driver() override { *Alive = false; }

  void start();
  /// Why the job is waiting, as of the latest decision.
  std::optional<job_explanation> explain(const job_id &Job) const;

  void onRecordApplied(log_offset Offset, const record &Record,
                       const verdict &Verdict) override;
  void onStateReplaced() override { Dirty = true; }
  void onBatchApplied() override { scheduleDecision(); }

private:
  void scheduleDecision();
  void decide();
  void collectJobs(std::vector<waiting_job> &Waiting,
                   std::vector<running_attempt> &Running);
  void proposeAll(const schedule &Schedule);
  void proposeNeverFits(const job_explanation &Explanation);
  void proposeRecord(record_body Body);
  bool mayPropose(const job_id &Job);
  void observeRunTime(const job_ended &End);
  void eraseObsoleteTimes();

  ievent_loop &Loop;
  iproposer &Log;
  const entry_rank &Rank;
  const peer_identity Self;
  scheduler Scheduler;
  bool Started = false;
  bool Dirty = true;
  std::size_t InFlight = 0;
  time_point LastDecision{};
  timer DecisionTimer;
  std::unordered_map<job_id, time_point> WaitingSince;
  std::unordered_map<job_id, time_point> ProposableSince;
  std::map<fencing_token, time_point> StartedAt;
  std::vector<std::vector<resources>> Needs;
  std::unordered_map<job_id, job_explanation> Explanations;
  logger Logger{"scheduler"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
