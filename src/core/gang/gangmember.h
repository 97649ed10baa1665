#pragma once

#include "core/gang/memberattempt.h"
#include "core/gang/types/gangcommands.h"
#include "core/gang/types/gangevents.h"
#include "core/gang/types/gangtiming.h"
#include "core/gang/workercalls.h"

#include <map>
#include <span>
#include <vector>

namespace geraniumpaddle {

/// What happens to a worker's holds and tasks.
using member_event =
    std::variant<agent_started, peer_request<prepare_tasks>,
                 peer_request<start_tasks>, peer_request<renew_tasks>,
                 peer_request<stop_tasks>, worker_answered, gang_timer_expired>;

/// The agent's side of one worker: which attempts hold which accelerators,
/// their tasks and the leases of these. An attempt with a larger token takes
/// its accelerators from every attempt with a smaller one, because the log
/// accepted it later; it is prepared only when nothing runs there any more.
class gang_member {
public:
  explicit gang_member(const gang_timing &Timing);
  gang_member(const gang_member &) = delete;
  gang_member &operator=(const gang_member &) = delete;

  /// Decides on one event. Tasks whose lease has lapsed by \p Now are stopped
  /// before the event is looked at.
  /// \returns commands in order, valid until the next call.
  std::span<const gang_command> handle(const member_event &Event,
                                       time_point Now);

  /// True once the worker has described its tasks.
  bool ready() const { return Ready; }
  /// True while tasks of any attempt run or may run.
  bool busy() const;
  /// Where the attempt of \p Token stands.
  member_state state(fencing_token Token) const;
  /// When handle() wants to be called with gang_timer_expired.
  time_point nextWakeup() const { return Wakeup; }

private:
  void onStarted(const agent_started &Event, time_point Now);
  void onPrepare(const peer_request<prepare_tasks> &Event, time_point Now);
  void onStart(const peer_request<start_tasks> &Event, time_point Now);
  void onRenew(const peer_request<renew_tasks> &Event, time_point Now);
  void onStop(const peer_request<stop_tasks> &Event, time_point Now);
  void onWorkerAnswered(const worker_answered &Event, time_point Now);
  void onWakeup(const gang_timer_expired &Event, time_point Now);

  held_attempt *find(fencing_token Token);
  held_attempt &create(fencing_token Token);
  void bar(fencing_token Token, time_point Now);
  /// True if a later attempt has taken these accelerators, or the attempt
  /// itself as a victim.
  bool isStale(const prepare_tasks &Message) const;
  void displace(const prepare_tasks &Message, time_point Now);
  bool isClear(fencing_token Token, const held_attempt &Attempt) const;
  void admitWaiting();
  void onStatus(const task_status &Status, worker_call_id Call, time_point Now);
  void onDescribed(const worker_answered &Event, time_point Now);
  void poll(time_point Now);
  void forgetOld(time_point Now);
  void flushReplies();
  void chooseWakeup(time_point Now);
  void reply(const reply_handle &Reply, const member_report &Report);
  duration pollInterval() const;

  const gang_timing Timing;
  std::vector<gang_command> Commands;
  worker_calls Calls{Commands};
  bool Started = false;
  bool Ready = false;
  time_point StartedAt{};
  bool DescribeOpen = false;
  time_point DescribedAt{}; ///< when the last description was asked for
  /// After a pause, calls that waited meanwhile must not extend a lease.
  time_point TrustFrom = time_point::min();
  std::map<fencing_token, held_attempt> Attempts;
  time_point Wakeup = time_point::max();
};

} // namespace geraniumpaddle
