#pragma once

#include "core/work/tests/workbuilders.h"
#include "core/work/workscheduler.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace geraniumpaddle::work::testing {

/// A scheduler whose records are stored at once, and workers that run what they
/// are ordered to.
class scheduler_harness {
public:
  scheduler_harness() {
    Queues.replace(makeConfiguration());
    takeOver();
  }

  void takeOver() {
    Scheduler.emplace(++Term, scheduler_limits{}, Registry, Queues, Evacuated,
                      Present);
    feed(scheduler_timer_expired{});
  }

  void feed(const scheduler_event &Event) {
    std::vector<append_progress> Appends;
    for (const scheduler_command &Each : Scheduler->handle(Event, Present)) {
      if (const auto *Append = std::get_if<append_progress>(&Each))
        Appends.push_back(*Append);
      if (const auto *Decision = std::get_if<logged_decision>(&Each))
        Decisions.push_back(*Decision);
    }
    for (const append_progress &Append : Appends) {
      for (const job_progressed &Record : Append.Records)
        Registry.apply({progressKey(Record.Job), ++LastOffset}, Record);
      feed(progress_stored{Append.Batch});
    }
  }

  void submit(job_spec Spec) {
    Spec.SubmittedAt = Present.Wall;
    const std::string Key = submissionKey(Spec.Id);
    Registry.apply({Key, ++LastOffset}, job_submitted{Spec});
    feed(job_arrived{Registry.find(Spec.Id)->Spec});
  }

  void addWorker(const worker_description &Description) {
    const worker_id &Id = Description.Instance.Worker;
    Reports[Id] = {.Description = Description,
                   .Listing = worker_listing{
                       .StartTimeMs = Description.Instance.StartTimeMs}};
    feed(worker_reported{Reports[Id]});
  }
  void addWorker(std::string_view Id, std::string_view Zone) {
    worker_description Description = makeWorker(Id);
    Description.Zone = availability_zone_id(Zone);
    addWorker(Description);
  }

  std::vector<run_ref> ordered(std::string_view Id) const {
    std::vector<run_ref> Runs;
    const auto Orders =
        Scheduler->orders(Reports.at(worker_id(Id)).Description.Instance);
    if (Orders)
      for (const desired_run &Each : Orders->Runs)
        Runs.push_back(Each.Run);
    return Runs;
  }

  /// The worker lists what it was ordered to run, with its progress, and
  /// \p Finished.
  void report(std::string_view Id, std::vector<finished_run> Finished = {}) {
    worker_report &Report = Reports.at(worker_id(Id));
    worker_listing &Listing = *Report.Listing;
    const auto Orders = Scheduler->orders(Report.Description.Instance);
    Report.Applied = Orders ? Orders->Version : orders_version{};
    Listing.ClockMs = millisecondsOf(Present.Now.time_since_epoch());
    Listing.Running.clear();
    for (const run_ref &Run : ordered(Id))
      if (!NotStarting)
        Listing.Running.push_back(
            {.Run = Run, .Percent = Percent[std::string(Id)]});
    std::erase_if(Listing.Running, [&](const running_run &Row) {
      return std::any_of(
          Finished.begin(), Finished.end(),
          [&](const finished_run &End) { return End.Run == Row.Run; });
    });
    Listing.Finished = std::move(Finished);
    feed(worker_reported{Report});
  }

  /// Lets \p Time pass; all workers report every 100 ms.
  void run(duration Time) {
    constexpr duration Interval = std::chrono::milliseconds(100);
    for (duration Passed{}; Passed < Time; Passed += Interval) {
      Present.Now += Interval;
      Present.Wall += std::chrono::duration_cast<wall_time::duration>(Interval);
      feed(scheduler_timer_expired{});
      for (const auto &[Id, Report] : Reports)
        report(Id.view());
    }
  }

  std::size_t decisions(decision_kind Kind, std::string_view Detail) const {
    return static_cast<std::size_t>(std::count_if(
        Decisions.begin(), Decisions.end(), [&](const auto &Each) {
          return Each.Kind == Kind && Each.Detail == Detail;
        }));
  }

  present_time Present{.Now = time_point(std::chrono::hours(1)),
                       .Wall = wall_time(std::chrono::hours(1))};
  job_registry Registry;
  queue_directory Queues;
  evacuated_zones Evacuated;
  std::optional<work_scheduler> Scheduler;
  std::vector<logged_decision> Decisions;
  std::map<std::string, std::int32_t> Percent; ///< progress by worker
  bool NotStarting = false;                    ///< the workers start nothing

private:
  std::uint64_t Term = 0;
  std::uint64_t LastOffset = 0;
  std::map<worker_id, worker_report> Reports;
};

} // namespace geraniumpaddle::work::testing
