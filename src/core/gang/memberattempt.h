#pragma once

#include "core/gang/types/gangmessages.h"
#include "core/gang/types/gangtiming.h"
#include "core/gang/workercalls.h"

#include <span>
#include <string>
#include <vector>

namespace geraniumpaddle {

/// One attempt's holds and tasks on one worker.
class held_attempt {
public:
  held_attempt(fencing_token Token, const gang_timing &Timing,
               worker_calls &Calls);

  /// Sets the tasks, or completes those of an adopted attempt.
  void assign(const prepare_tasks &Message);
  /// Takes over a task that the worker runs or ran before this agent started.
  void adopt(const task_status &Status, worker_call_id Call, time_point Now);
  /// Makes it an attempt that is over and refuses late messages.
  void bar(time_point Now);

  /// Nothing else runs on the accelerators.
  void setPrepared();
  void start(duration Lease, const reply_handle &Reply, time_point Now);
  void renew(duration Lease, const reply_handle &Reply, time_point Now);
  /// Stops whatever runs, after a checkpoint if \p Checkpoint.
  void beginStop(bool Checkpoint, time_point Now);

  /// Stops the tasks if the lease has lapsed.
  void expire(time_point Now);
  /// Repeats what has to be repeated, and notes tasks that have lapsed.
  void advance(time_point Now);

  /// What the worker tells about one of the tasks.
  void onStatus(const task_status &Status, worker_call_id Call);
  /// The worker described all its tasks in answer to \p Call.
  void onDescribed(std::span<const task_status> All, worker_call_id Call);
  /// A call about task \p Task was answered or given up.
  void onAnswer(worker_calls::kind Kind, std::uint32_t Task,
                worker_answer Outcome, time_point Now);

  member_state state() const;
  member_report report() const;
  /// True while a task runs, or may run without our knowledge.
  bool mayRun() const;
  /// True if the tasks are known from the worker only.
  bool adopted() const { return Adopted; }
  bool waiting() const { return Phase == phase::Waiting; }
  bool stopping() const { return Phase == phase::Stopping; }
  bool over() const { return Phase == phase::Over; }
  time_point overSince() const { return OverSince; }
  accelerator_mask accelerators() const;
  std::span<const fencing_token> victims() const { return Victims; }
  time_point nextWakeup() const;

  /// Calls whose answer is now known; empties the list.
  std::vector<reply_handle> takeAnswered();

private:
  enum class phase : std::uint8_t {
    Waiting,
    Prepared,
    Started,
    Stopping,
    Over
  };
  enum class task_phase : std::uint8_t { Held, Starting, Running, Over };
  enum class checkpoint_step : std::uint8_t { None, Wanted, Asked, Done };

  struct held_task {
    gang_task Task;
    task_phase Phase = task_phase::Held;
    task_state Ended = task_state::Stopped; ///< if over
    checkpoint_step Checkpoint = checkpoint_step::None;
    worker_call_id CheckpointCall{};
    worker_call_id KnownSince{}; ///< newest call when the worker told of it
    int OpenGrants = 0;          ///< starts and renewals without an answer
    time_point LapsesAt{};       ///< its lease is over even on a slow clock
    time_point SentAt{};         ///< last start or stop
    bool StopSent = false;
    std::string Detail;

    bool mayRun() const;
  };

  gang_task_id idOf(const held_task &Task) const;
  held_task *find(std::uint32_t Task);
  void sendStart(held_task &Task, time_point Now);
  void sendStop(held_task &Task, time_point Now);
  void advanceStop(held_task &Task, time_point Now);
  void grant(held_task &Task, time_point Now);
  void end(held_task &Task, task_state State, std::string_view Detail);
  void settle(time_point Now);
  bool has(task_state Ended) const;
  bool every(task_phase Phase) const;

  const fencing_token Token;
  const gang_timing &Timing;
  worker_calls &Calls;
  phase Phase = phase::Waiting;
  bool Adopted = false;
  std::string Command;
  std::vector<held_task> Tasks;
  std::vector<fencing_token> Victims;
  duration Lease{};
  time_point LeaseUntil{};
  time_point CheckpointUntil{};
  time_point OverSince{};
  std::vector<reply_handle> Pending;
  bool CallFailed = false;
};

} // namespace geraniumpaddle
