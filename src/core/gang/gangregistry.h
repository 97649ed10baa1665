#pragma once

#include "core/gang/ganglead.h"
#include "core/gang/gangmember.h"
#include "core/gang/types/gangcommands.h"
#include "core/gang/types/gangevents.h"
#include "core/gang/types/gangtiming.h"

#include <map>
#include <span>
#include <vector>

namespace geraniumpaddle {

/// All gangs of one agent: those that it leads, and the tasks of its worker.
/// Calls from a lead of this agent to its own worker are delivered locally.
class gang_registry {
public:
  gang_registry(worker_id OwnWorker, const gang_timing &Timing);

  /// Handles one event. The first must be agent_started.
  /// \returns commands in the order to carry them out, valid until the next
  /// call.
  std::span<const gang_command> handle(const gang_event &Event, time_point Now);

  /// True once the worker has listed its tasks; until then calls of leads are
  /// refused as not ready.
  bool ready() const { return Member.ready(); }
  /// State of the attempt of \p Token on the agent's worker.
  member_state memberState(fencing_token Token) const {
    return Member.state(Token);
  }
  /// Attempts led here whose end is not recorded yet.
  std::size_t leads() const { return Leads.size(); }
  /// True while tasks of any attempt run or may run on the worker.
  bool busy() const { return Member.busy(); }

private:
  void onStarted(const agent_started &Event, time_point Now);
  void onAssign(const peer_request<assign_gang> &Event, time_point Now);
  void onStopGang(const peer_request<stop_gang> &Event, time_point Now);
  void onPrepare(const peer_request<prepare_tasks> &Event, time_point Now);
  void onStart(const peer_request<start_tasks> &Event, time_point Now);
  void onRenew(const peer_request<renew_tasks> &Event, time_point Now);
  void onStopTasks(const peer_request<stop_tasks> &Event, time_point Now);
  void onMemberAnswered(const member_answered &Event, time_point Now);
  void onReportAnswered(const report_answered &Event, time_point Now);
  void onWorkerAnswered(const worker_answered &Event, time_point Now);
  void onTimerExpired(const gang_timer_expired &Event, time_point Now);

  void notifyMember(const member_event &Event, time_point Now);
  void notifyLead(fencing_token Token, const lead_event &Event, time_point Now);
  void reply(const reply_handle &Reply, gang_refusal Refusal);
  void collect(std::span<const gang_command> NewCommands);
  void routeCommands(time_point Now);
  void deliverLocalCall(const send_to_member &Command, time_point Now);
  void deliverLocalReply(const gang_reply &Command, time_point Now);
  void removeFinishedLeads(time_point Now);
  void requestTimer();

  struct local_call {
    fencing_token Token{};
    member_call_id Call{};
  };

  const worker_id OwnWorker;
  const gang_timing Timing;
  gang_member Member;
  std::map<fencing_token, gang_lead> Leads;
  /// Attempts led here that have ended, and until when they are remembered.
  std::map<fencing_token, time_point> Ended;
  std::map<std::uint64_t, local_call> LocalCalls;
  std::uint64_t LastLocalCall = 0;
  std::vector<gang_command> UnroutedCommands;
  std::vector<gang_command> Commands;
};

} // namespace geraniumpaddle
