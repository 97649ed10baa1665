#pragma once

#include "core/base/eventqueue.h"
#include "core/supervision/gangsupervisor.h"
#include "entry/ilogobserver.h"
#include "entry/iproposer.h"
#include "logging/logging.h"
#include "peercodec/peercodec.h"
#include "transport/ieventloop.h"
#include "transport/ipeerclient.h"
#include "transport/ipeerserver.h"
#include "transport/timer.h"

#include <memory>

namespace geraniumpaddle {

/// Executes the commands of a gang_supervisor, and records the steps that gang
/// leads report.
class gang_driver final : public ilog_observer {
public:
  gang_driver(ievent_loop &Loop, ipeer_client &Peers, iproposer &Log,
              const iattempt_owner &Owner, const peer_identity &Self,
              const supervision_settings &Settings);
  ~gang_driver() override { *Alive = false; }

  void start();
  void onMembersChanged() { push(ownership_changed{}); }
  /// Records a step that a gang lead reports; responds with the verdict.
  /// \throws malformed_message_error
  void onReport(const node_id &Agent, const proto::JobReport &Report,
                const peer_responder &Respond);

  void onRecordApplied(log_offset Offset, const record &Record,
                       const verdict &Verdict) override;
  void onStateReplaced() override;

private:
  void push(supervision_event Event);
  void onSendAssignment(const send_assignment &Command);
  void onSendStop(const send_stop &Command);
  void onProposeLeaseExpired(const propose_lease_expired &Command);
  void onSetTimer(const set_supervision_timer &Command);

  void observePlaced(const job_entry &Job);
  void observe(const job_placed &Placement, log_offset Offset);
  void observe(const job_ended &End);
  void observe(const worker_state_changed &Change);
  bool alreadyRecorded(const proto::JobReport &Report) const;
  void respond(const peer_responder &Respond,
               const proto::RecordVerdict &Verdict) const;
  assign_gang makeAssignment(const job_entry &Job) const;

  ievent_loop &Loop;
  ipeer_client &Peers;
  iproposer &Log;
  const peer_identity Self;
  gang_supervisor Supervisor;
  event_queue<supervision_event> Events;
  timer SupervisorTimer;
  /// Preemption victims of current placements, sent with the assignments.
  std::map<fencing_token, std::vector<fencing_token>> Victims;
  bool Started = false;
  logger Logger{"gangs"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
