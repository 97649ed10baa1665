#pragma once

#include "daemon/tests/soak/keptconnection.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace geraniumpaddle::tests {

/// A job as its callers know it.
struct soak_job {
  std::string Path;
  std::string Body;
  bool MustFail = false; ///< its task always fails
  bool Lasting = false;  ///< runs until it is cancelled
  bool MaybeStored = false;
  bool CancelRequested = false;
  bool CancelAcknowledged = false;
  bool ReportedUnknown = false; ///< its 410 has been reported
  bool SubmissionOpen = false;  ///< a submission has no response yet
  std::optional<time_point> AcceptedAt;
  std::string State; ///< as last shown; empty: not shown yet

  /// Every submission was refused, so it never runs.
  bool refused() const { return !AcceptedAt && !MaybeStored; }
  bool ended() const {
    return State == "completed" || State == "failed" || State == "cancelled";
  }
  /// Nothing more is expected to happen to it.
  bool settled() const { return ended() || (Lasting && !CancelAcknowledged); }
};

/// One call of a caller.
struct soak_call {
  std::string Entry;
  std::string Method;
  std::string Path;
};

/// What the simulated workers run at one moment.
struct worker_snapshot {
  bool UnderHalfUsed = false;
  std::vector<std::string> RunningJobs;
};

/// Judges what callers and workers see while the soak runs, with the bounds of
/// the platform's rules.
class soak_checker {
public:
  explicit soak_checker(event_loop &Loop) : Loop(Loop), Start(Loop.now()) {}

  // What happens to the processes.

  /// Notes an action for the report of a failure.
  void action(const std::string &What);
  /// Records unplanned trouble of an entry, or of all (empty \p Entry), from
  /// now on.
  /// \returns the number for endTrouble().
  std::size_t beginTrouble(const std::string &Entry);
  void endTrouble(std::size_t Number);
  /// Records planned work at an entry, or at all: requests sent within
  /// \p SentWithin and cut within \p EndWithin have to be answered.
  void planned(const std::string &Entry, const std::string &What,
               duration SentWithin, duration EndWithin);

  // What the callers see.

  soak_job &addJob(soak_job Job);
  std::map<std::string, soak_job> &jobs() { return Jobs; }
  void onResult(const soak_call &Call, const exchange_result &Result);

  // After the last fault.

  /// Records which jobs have nothing running although there is room.
  void onSnapshot(const worker_snapshot &Snapshot);
  /// Checks that every accepted job is known and has ended as it has to.
  void checkEnds();
  /// \param Tasks the tasks that were started, with the failed runs of each.
  void checkStarted(const std::map<std::string, unsigned> &Tasks);
  bool allSettled() const;
  bool hasLastingJobs() const;

  /// Records a violation; the first ones are printed at once.
  void violation(const std::string &What);
  const std::vector<std::string> &violations() const { return Violations; }
  const std::vector<std::string> &actions() const { return Actions; }
  std::string summary() const;
  bool troubled(const std::string &Entry, time_point From) const;

private:
  struct trouble {
    std::string Entry;
    time_point From{};
    std::optional<time_point> Until;
  };
  struct planned_work {
    std::string Entry;
    std::string What;
    time_point At{};
    time_point LastSent{};
    time_point LastEnd{};
  };

  void onBroken(const soak_call &Call, const exchange_result &Result);
  void onSubmitted(soak_job &Job, const exchange_result &Result);
  void onState(soak_job &Job, const soak_call &Call,
               const exchange_result &Result);
  std::string describe(const soak_call &Call,
                       const exchange_result &Result) const;

  event_loop &Loop;
  const time_point Start;
  std::map<std::string, soak_job> Jobs;
  std::vector<std::string> Actions;
  std::vector<trouble> Troubles;
  std::vector<planned_work> PlannedWork;
  std::map<std::string, time_point> LastActive; ///< by path, since the end
  std::size_t Calls = 0;
  std::size_t BrokenCalls = 0;
  std::vector<std::string> Violations;
};

} // namespace geraniumpaddle::tests
