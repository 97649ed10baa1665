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

/// Carries out the decisions of a gang_supervisor, and records the steps that
/// the leads of gangs report.
class gang_driver final : public ifold_observer {
public:
  gang_driver(ievent_loop &Loop, ipeer_client &Peers, iproposer &Log,
              const iattempt_owner &Owner, const peer_identity &Self,
              const supervision_settings &Settings);
  ~gang_driver() override { *Alive = false; }

  void start();
  void membersChanged() { push(ownership_changed{}); }
  /// Records a lead's step; answers once the log has judged it.
  /// \throws malformed_message_error
  void onReport(const node_id &Agent, const proto::JobReport &Report,
                const peer_responder &Respond);

  void onFolded(log_offset Offset, const record &Record,
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
  void answer(const peer_responder &Respond,
              const proto::RecordVerdict &Verdict) const;
  assign_gang describe(const job_entry &Job) const;

  ievent_loop &Loop;
  ipeer_client &Peers;
  iproposer &Log;
  const peer_identity Self;
  gang_supervisor Supervisor;
  event_queue<supervision_event> Events;
  timer StateMachineTimer;
  /// Victims of placements that are in force, for the leads of their gangs.
  std::map<fencing_token, std::vector<fencing_token>> Victims;
  bool Started = false;
  logger Logger{"gangs"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
