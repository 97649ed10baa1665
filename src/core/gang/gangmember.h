#pragma once

#include "core/gang/types/gangcommands.h"
#include "core/gang/types/gangevents.h"
#include "core/gang/types/gangtiming.h"

#include <map>
#include <span>
#include <vector>

namespace geraniumpaddle {

/// What happens to a worker's holds and tasks.
using member_event =
    std::variant<agent_started, peer_request<prepare_tasks>,
                 peer_request<start_tasks>, peer_request<renew_tasks>,
                 peer_request<stop_tasks>, worker_answered, wakeup_due>;

/// The agent's side of one worker: which attempts hold which accelerators,
/// their tasks and the leases of these. An attempt with a larger token takes
/// its accelerators from every attempt with a smaller one, because the log
/// accepted it later; it is prepared only when nothing runs there any more.
class gang_member {
public:
  explicit gang_member(const gang_timing &Timing);

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
  /// When handle() wants to be called with wakeup_due.
  time_point nextWakeup() const { return Wakeup; }

private:
  enum class task_phase : std::uint8_t {
    Held,     ///< not started
    Starting, ///< the worker was told to start it
    Running,
    Over,
  };

  struct held_task {
    gang_task Task;
    task_phase Phase = task_phase::Held;
    task_state Last = task_state::Running; ///< as the worker told it
    time_point LapsesAt{}; ///< when it is over even if the worker is silent
    time_point LastCommand{};
    worker_call_id CheckpointCall{}; ///< 0: not asked for
    std::string Detail;
  };

  enum class attempt_phase : std::uint8_t {
    Waiting,
    Prepared,
    Started,
    Stopping,
    Over,
  };

  struct attempt {
    job_id Job;
    std::string Command;
    attempt_phase Phase = attempt_phase::Waiting;
    std::vector<held_task> Tasks;
    std::vector<fencing_token> Victims;
    accelerator_mask Accelerators = 0;
    duration Lease{};
    time_point LeaseUntil{};      ///< stopped then unless renewed
    time_point CheckpointUntil{}; ///< checkpoints are cut off then
    time_point OverSince{};
    bool WasStopped = false;
    std::vector<reply_handle> Waiting; ///< calls to answer with the worker's
    std::size_t OpenCalls = 0;         ///< starts and renewals
    bool CallFailed = false;
  };

  enum class call_kind : std::uint8_t {
    Describe,
    Start,
    Renew,
    Checkpoint,
    Stop
  };
  struct open_call {
    call_kind Kind = call_kind::Describe;
    fencing_token Token{};
    std::vector<std::uint32_t> Tasks;
    duration Lease{};
  };

  void onStarted(const agent_started &Event, time_point Now);
  void onPrepare(const peer_request<prepare_tasks> &Event, time_point Now);
  void onStart(const peer_request<start_tasks> &Event, time_point Now);
  void onRenew(const peer_request<renew_tasks> &Event, time_point Now);
  void onStop(const peer_request<stop_tasks> &Event, time_point Now);
  void onWorkerAnswered(const worker_answered &Event, time_point Now);
  void onWakeup(const wakeup_due &Event, time_point Now);

  const gang_timing Timing;
  bool Ready = false;
  std::map<fencing_token, attempt> Attempts;
  std::map<worker_call_id, open_call> OpenCalls;
  std::uint64_t LastCall = 0;
  time_point Wakeup = time_point::max();
  std::vector<gang_command> Commands;
};

} // namespace geraniumpaddle
