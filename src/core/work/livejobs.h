#pragma once

#include "core/work/types/progress.h"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace geraniumpaddle::work {

/// A step of one occurrence of a job.
struct step_ref {
  job_id Job;
  std::uint32_t Occurrence = 0;
  std::uint32_t Step = 0;

  friend auto operator<=>(const step_ref &, const step_ref &) = default;
};

/// The step that a run belongs to.
inline step_ref stepOf(const run_ref &Run) {
  const task_position &At = Run.Task.Position;
  return {Run.Task.Job, At.Occurrence, At.Step};
}

/// Whether both are runs of the same start of a gang.
inline bool sameGangRun(const run_ref &A, const run_ref &B) {
  return A.Run == B.Run && stepOf(A) == stepOf(B);
}

/// A job that has not ended, with the progress that the scheduler updates.
class live_job {
public:
  live_job(std::shared_ptr<const job_spec> Spec, job_progress Progress,
           time_point KnownAt);

  const job_spec &spec() const { return *Spec; }
  const step_spec &step(std::uint32_t Step) const { return Spec->Steps[Step]; }
  const job_progress &progress() const { return Progress; }
  const task_layout &layout() const { return Layout; }
  time_point knownAt() const { return KnownAt; }
  const task_progress &task(const task_position &Position) const {
    return Progress.Tasks[Layout.ordinal(Position)];
  }
  void setCheckpoint(const task_position &Position, std::string Checkpoint) {
    mutableTask(Position).Checkpoint = std::move(Checkpoint);
  }

  /// Positions of the tasks of a step that wait for a run.
  std::vector<task_position> waiting(const step_ref &Step) const;
  std::uint32_t waitingCount(const step_ref &Step) const {
    return WaitingByStep[stepIndex(Step.Occurrence, Step.Step)];
  }
  /// True once the steps that it depends on are done and its start time is
  /// reached.
  bool ready(const step_ref &Step, wall_time Wall) const;
  /// Start of an occurrence; the epoch for a job without start times.
  wall_time dueAt(std::uint32_t Occurrence) const;
  std::span<const step_ref> steps() const { return Steps; }

  /// Notes that a ready step has tasks that wait.
  /// \returns since when that has been so without a break.
  time_point noteWaiting(const step_ref &Step, time_point Now);
  /// \returns whether this is the first call during the present wait.
  bool noteWaitLogged(const step_ref &Step);

  void setRunning(const task_position &Position, std::uint32_t Run,
                  const worker_instance &LastWorker);
  void setWaiting(const task_position &Position);
  void setDone(const task_position &Position);
  /// Counts a failed run of a task, or of its whole gang.
  /// \returns the failures so far.
  std::uint32_t countFailure(const task_position &Position, std::uint32_t Run);
  void setState(job_state State) { Progress.State = State; }
  void end(job_state State, wall_time At);
  bool allDone() const { return OpenTasks == 0; }

private:
  task_progress &mutableTask(const task_position &Position) {
    return Progress.Tasks[Layout.ordinal(Position)];
  }
  std::size_t stepIndex(std::uint32_t Occurrence, std::uint32_t Step) const {
    return Occurrence * Spec->Steps.size() + Step;
  }

  struct step_wait {
    std::optional<time_point> Since;
    bool Logged = false;
  };

  void removeWaiting(const task_position &Position);

  std::shared_ptr<const job_spec> Spec;
  job_progress Progress;
  task_layout Layout;
  time_point KnownAt;
  std::vector<step_ref> Steps;
  std::vector<std::uint32_t> OpenByStep;    ///< tasks not done, by stepIndex
  std::vector<std::uint32_t> WaitingByStep; ///< tasks that wait for a run
  std::vector<step_wait> Waits;             ///< by stepIndex
  std::vector<std::uint32_t> LastFailedRun; ///< of gangs: last one counted
  std::size_t OpenTasks = 0;
};

} // namespace geraniumpaddle::work
