#pragma once

#include "agent/entryconnector.h"
#include "core/base/eventqueue.h"
#include "core/gang/gangregistry.h"
#include "logging/logging.h"
#include "peercodec/peercodec.h"
#include "platform/iworker.h"
#include "transport/ieventloop.h"
#include "transport/ipeerclient.h"
#include "transport/ipeerserver.h"
#include "transport/timer.h"

#include <map>
#include <memory>

namespace geraniumpaddle {

/// Executes the commands of a gang_registry: calls the worker and the agents of
/// other members, and sends reports to the entries.
class agent_gang_driver {
public:
  agent_gang_driver(ievent_loop &Loop, ipeer_client &Peers, iworker &Worker,
                    entry_connector &Entries, const peer_identity &Self,
                    const worker_id &OwnWorker, const gang_timing &Timing);
  ~agent_gang_driver() { *Alive = false; }
  agent_gang_driver(const agent_gang_driver &) = delete;
  agent_gang_driver &operator=(const agent_gang_driver &) = delete;

  void start();
  /// Handles a call that concerns gangs.
  /// \returns false, without answering, for any other call.
  /// \throws malformed_message_error
  bool handle(const proto::PeerRequest &Request, const peer_responder &Respond);

  bool ready() const { return Registry.ready(); }
  /// True while this agent leads a gang or tasks run on its worker.
  bool busy() const { return Registry.busy() || Registry.leads() > 0; }

private:
  void push(gang_event Event);
  void onReply(const gang_reply &Command);
  void onSend(const send_to_member &Command);
  void onReportStarted(const report_started &Command);
  void onReportEnded(const report_ended &Command);
  void onDescribe(const worker_describe &Command);
  void onStartTask(const worker_start_task &Command);
  void onRenewTasks(const worker_renew_tasks &Command);
  void onCheckpointTask(const worker_checkpoint_task &Command);
  void onStopTask(const worker_stop_task &Command);
  void onSetTimer(const set_gang_timer &Command);

  worker_callback makeWorkerCallback(worker_call_id Call, bool ListsAllTasks);
  void sendReport(fencing_token Token, bool Ended,
                  const proto::JobReport &Report);

  ievent_loop &Loop;
  ipeer_client &Peers;
  iworker &Worker;
  entry_connector &Entries;
  const peer_identity Self;
  gang_registry Registry;
  event_queue<gang_event> Events;
  timer RegistryTimer;
  logger Log{"gang"};
  std::map<std::uint64_t, peer_responder> OpenCalls;
  std::uint64_t LastCall = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
