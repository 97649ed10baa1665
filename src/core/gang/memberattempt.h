#pragma once

#include "core/gang/types/gangmessages.h"
#include "core/gang/types/gangtiming.h"
#include "core/gang/workercalls.h"

#include <span>
#include <string>
#include <vector>

namespace geraniumpaddle {

/// The reserved accelerators and the tasks of one attempt on one worker.
class member_attempt {
public:
  member_attempt(fencing_token Token, const gang_timing &Timing,
                 worker_calls &Calls);

  /// Sets the tasks, or fills in the details of adopted ones.
  void assign(const prepare_tasks &Message);
  /// Takes over a task that the worker got before this agent started.
  void adopt(const task_status &Status, worker_call_id Call, time_point Now);
  /// Marks the attempt as ended, so that late messages for it are refused.
  void fence(time_point Now);

  /// Called when nothing else runs on the accelerators.
  void setPrepared();
  void start(duration Lease, const reply_handle &Reply, time_point Now);
  void renew(duration Lease, const reply_handle &Reply, time_point Now);
  /// Stops running tasks, after a checkpoint if \p Checkpoint.
  void beginStop(bool Checkpoint, time_point Now);

  /// Stops the tasks if the lease has expired.
  void expireLease(time_point Now);
  /// Repeats calls that are due, and ends tasks whose lease has expired.
  void advance(time_point Now);

  /// Handles the status that the worker reported for one of the tasks.
  void onStatus(const task_status &Status, worker_call_id Call);
  /// The worker listed all its tasks in answer to \p Call.
  void onDescribed(std::span<const task_status> All, worker_call_id Call);
  /// A call for task \p Task was answered or timed out.
  void onAnswer(worker_calls::kind Kind, std::uint32_t Task,
                worker_answer Outcome, time_point Now);

  member_state state() const;
  member_report report() const;
  /// True while a task runs or, as far as the agent knows, may run.
  bool mayRun() const;
  /// True if the tasks are known only from the worker.
  bool adopted() const { return Adopted; }
  bool waiting() const { return Phase == phase::Waiting; }
  bool stopping() const { return Phase == phase::Stopping; }
  bool ended() const { return Phase == phase::Ended; }
  time_point endedAt() const { return EndedAt; }
  accelerator_mask accelerators() const;
  std::span<const fencing_token> victims() const { return Victims; }
  time_point nextTimerAt() const;

  /// Returns and removes the calls that can be answered now.
  std::vector<reply_handle> takeAnsweredCalls();

private:
  enum class phase : std::uint8_t {
    Waiting,
    Prepared,
    Started,
    Stopping,
    Ended
  };
  enum class task_phase : std::uint8_t { Reserved, Starting, Running, Ended };
  enum class checkpoint_step : std::uint8_t { None, Due, Requested, Done };

  struct member_task {
    gang_task Task;
    task_phase Phase = task_phase::Reserved;
    task_state EndState = task_state::Stopped; ///< if Phase is Ended
    checkpoint_step Checkpoint = checkpoint_step::None;
    worker_call_id CheckpointCall{};
    worker_call_id LastSeenCall{}; ///< latest call when last seen running
    int PendingGrants = 0;         ///< starts and renewals not yet answered
    time_point ExpiresAt{};        ///< expired by then even on a slow clock
    time_point SentAt{};           ///< last start or stop
    bool StopSent = false;
    std::string Detail;

    bool mayRun() const;
  };

  gang_task_id idOf(const member_task &Task) const;
  member_task *find(std::uint32_t Task);
  void sendStart(member_task &Task, time_point Now);
  void sendStop(member_task &Task, time_point Now);
  void advanceStop(member_task &Task, time_point Now);
  void recordGrant(member_task &Task, time_point Now);
  void end(member_task &Task, task_state State, std::string_view Detail);
  void updatePhase(time_point Now);
  bool anyEndedWith(task_state EndState) const;
  bool allTasksIn(task_phase Phase) const;

  const fencing_token Token;
  const gang_timing &Timing;
  worker_calls &Calls;
  phase Phase = phase::Waiting;
  bool Adopted = false;
  std::string Command;
  std::vector<member_task> Tasks;
  std::vector<fencing_token> Victims;
  duration Lease{};
  time_point LeaseUntil{};
  time_point CheckpointUntil{};
  time_point EndedAt{};
  std::vector<reply_handle> PendingReplies;
  bool CallFailed = false;
};

} // namespace geraniumpaddle
