#pragma once

#include "core/membership/workerhealth.h"
#include "entry/ilogobserver.h"
#include "entry/iproposer.h"
#include "entry/livemembers.h"
#include "logging/logging.h"
#include "peercodec/peercodec.h"
#include "transport/ieventloop.h"
#include "transport/ipeerclient.h"
#include "transport/timer.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace geraniumpaddle {

/// Executes the commands of worker_health: proposes to quarantine and
/// reactivate workers, and asks agents to probe quarantined workers. Every
/// entry tracks the health of all workers; only the entry that owns the
/// worker's agent acts on it.
class health_driver final : public ilog_observer {
public:
  health_driver(ievent_loop &Loop, ipeer_client &Peers, iproposer &Log,
                const live_members &Members, const peer_identity &Self,
                const worker_health_limits &Limits, std::string ProbeCommand);
  ~health_driver() override { *Alive = false; }
  health_driver(const health_driver &) = delete;
  health_driver &operator=(const health_driver &) = delete;

  void onRecordApplied(log_offset Offset, const record &Record,
                       const verdict &Verdict) override;
  void onStateReplaced() override;

private:
  void execute(worker_health::commands Commands);
  void onQuarantine(const quarantine_worker &Command);
  void onProbe(const probe_worker &Command);
  void onActivate(const activate_worker &Command);
  void observe(const job_ended &End);
  void propose(const worker_id &Worker, worker_state State, state_cause Cause);
  const worker_entry *ownedWorker(const worker_id &Worker) const;
  void armTimer();

  ievent_loop &Loop;
  ipeer_client &Peers;
  iproposer &Log;
  const live_members &Members;
  const peer_identity Self;
  const std::string ProbeCommand;
  worker_health Health;
  timer HealthTimer;
  logger Logger{"health"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
