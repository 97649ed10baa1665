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

/// All gangs of one agent: those that it leads, and what its worker holds for
/// any gang. Calls from an own lead to the own worker stay inside.
class gang_registry {
public:
  gang_registry(worker_id OwnWorker, const gang_timing &Timing);

  /// Decides on one event. The first must be agent_started.
  /// \returns commands in the order to carry them out, valid until the next
  /// call.
  std::span<const gang_command> handle(const gang_event &Event, time_point Now);

  /// True once the worker has described its tasks; until then calls of leads
  /// are refused as not ready.
  bool ready() const { return Member.ready(); }
  /// Where the own worker stands with the attempt of \p Token.
  member_state memberState(fencing_token Token) const {
    return Member.state(Token);
  }
  /// Attempts led here that are not over and recorded.
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
  void onWakeup(const gang_timer_expired &Event, time_point Now);

  void toMember(const member_event &Event, time_point Now);
  void toLead(fencing_token Token, const lead_event &Event, time_point Now);
  void reply(const reply_handle &Reply, gang_refusal Refusal);
  void take(std::span<const gang_command> Produced);
  void deliverInside(time_point Now);
  void deliverOwnCall(const send_to_member &Command, time_point Now);
  void deliverOwnReply(const gang_reply &Command, time_point Now);
  void retireLeads(time_point Now);
  void requestWakeup();

  struct own_call {
    fencing_token Token{};
    member_call_id Call{};
  };

  const worker_id OwnWorker;
  const gang_timing Timing;
  gang_member Member;
  std::map<fencing_token, gang_lead> Leads;
  /// Attempts led here that are over, and until when they are remembered.
  std::map<fencing_token, time_point> Ended;
  std::map<std::uint64_t, own_call> OwnCalls;
  std::uint64_t LastOwnCall = 0;
  std::vector<gang_command> Inside;
  std::vector<gang_command> Commands;
};

} // namespace geraniumpaddle
