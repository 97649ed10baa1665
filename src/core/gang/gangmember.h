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

/// Input events of a gang_member.
using member_event =
    std::variant<agent_started, peer_request<prepare_tasks>,
                 peer_request<start_tasks>, peer_request<renew_tasks>,
                 peer_request<stop_tasks>, worker_answered, gang_timer_expired>;

/// State of one worker at its agent: the accelerators reserved by each attempt,
/// its tasks and their leases. An attempt with a larger token takes its
/// accelerators from every attempt with a smaller one, because the log accepted
/// it later; it is prepared only when nothing runs on them any more.
class gang_member {
public:
  explicit gang_member(const gang_timing &Timing);
  gang_member(const gang_member &) = delete;
  gang_member &operator=(const gang_member &) = delete;

  /// Handles one event. Tasks whose lease has expired by \p Now are stopped
  /// before the event is handled.
  /// \returns commands in order, valid until the next call.
  std::span<const gang_command> handle(const member_event &Event,
                                       time_point Now);

  /// True once the worker has listed its tasks.
  bool ready() const { return Ready; }
  /// True while tasks of any attempt run or may run.
  bool busy() const;
  /// State of the attempt of \p Token.
  member_state state(fencing_token Token) const;
  /// When gang_timer_expired is due next; time_point::max(): no timer is
  /// needed.
  time_point nextTimerAt() const { return TimerAt; }

private:
  void onStarted(const agent_started &Event, time_point Now);
  void onPrepare(const peer_request<prepare_tasks> &Event, time_point Now);
  void onStart(const peer_request<start_tasks> &Event, time_point Now);
  void onRenew(const peer_request<renew_tasks> &Event, time_point Now);
  void onStop(const peer_request<stop_tasks> &Event, time_point Now);
  void onWorkerAnswered(const worker_answered &Event, time_point Now);
  void onTimerExpired(const gang_timer_expired &Event, time_point Now);

  member_attempt *find(fencing_token Token);
  member_attempt &create(fencing_token Token);
  void fence(fencing_token Token, time_point Now);
  /// True if a later attempt has taken one of these accelerators, or has the
  /// attempt itself as a victim.
  bool isStale(const prepare_tasks &Message) const;
  void stopConflicting(const prepare_tasks &Message, time_point Now);
  bool acceleratorsFree(fencing_token Token,
                        const member_attempt &Attempt) const;
  void prepareWaiting();
  void onStatus(const task_status &Status, worker_call_id Call, time_point Now);
  void onDescribed(const worker_answered &Event, time_point Now);
  void poll(time_point Now);
  void removeExpired(time_point Now);
  void flushReplies();
  void updateTimer(time_point Now);
  void reply(const reply_handle &Reply, const member_report &Report);
  duration pollInterval() const;

  const gang_timing Timing;
  std::vector<gang_command> Commands;
  worker_calls Calls{Commands};
  bool Started = false;
  bool Ready = false;
  time_point StartedAt{};
  bool DescribePending = false;
  time_point LastDescribeAt{}; ///< when the task list was last requested
  /// After this process was paused: calls that were queued meanwhile must not
  /// start or extend a lease, so they are refused until then.
  time_point AcceptLeasesFrom = time_point::min();
  std::map<fencing_token, member_attempt> Attempts;
  time_point TimerAt = time_point::max();
};

} // namespace geraniumpaddle
