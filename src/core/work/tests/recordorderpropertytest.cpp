#include "core/topics/topicfollower.h"
#include "core/work/jobregistry.h"
#include "core/work/tests/workbuilders.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

// After the standard headers, which do not compile with its macro for new.
#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Seeds = 100;
constexpr int Steps = 600;
/// Reads that are enough to catch up.
constexpr int FinalReads = 1000;
constexpr std::size_t PageSize = 2;
constexpr std::size_t MaxBatch = 3;
/// Steps after the end of a job until its records are deleted. Notifications
/// are not as late as that.
constexpr int RetentionSteps = 60;
constexpr int NotificationSteps = 20;
constexpr duration StepTime = 10ms;

/// Names in the order of the numbers.
std::string jobName(std::size_t Number) {
  return "j" + std::to_string(1000 + Number);
}

/// A topic of the store: all records of its log, of which readers may see only
/// the first ones and may have lost access to the oldest.
struct topic_log {
  std::vector<keyed_record> Records;
  std::uint64_t First = 0;
  std::optional<std::size_t> StaleEnd;

  std::size_t visibleEnd() const { return StaleEnd.value_or(Records.size()); }

  newest_page newest(const std::string &After) const {
    std::map<std::string, keyed_record> Newest;
    for (std::size_t I = 0; I < visibleEnd(); ++I)
      if (Records[I].Deleted)
        Newest.erase(Records[I].Key);
      else
        Newest[Records[I].Key] = Records[I];
    newest_page Page{.End = visibleEnd()};
    auto Next = Newest.upper_bound(After);
    for (; Next != Newest.end() && Page.Records.size() < PageSize; ++Next)
      Page.Records.push_back(Next->second);
    Page.HasMore = Next != Newest.end();
    return Page;
  }

  topic_event read(std::uint64_t From) const {
    if (From < First)
      return history_truncated{};
    const std::size_t End = visibleEnd();
    topic_batch Batch{.From = From, .End = End, .Next = From};
    for (; Batch.Next < End && Batch.Records.size() < MaxBatch; ++Batch.Next)
      Batch.Records.push_back(Records[Batch.Next]);
    return Batch;
  }
};

/// One reader of the records of jobs, with reads that fail, end early or show
/// an earlier state, and with notifications of other entries.
class record_simulation {
public:
  explicit record_simulation(unsigned Seed) : Random(Seed) {
    for (std::size_t I = 0; I < Topics.size(); ++I)
      feed(I, topic_timer_expired{});
  }

  void run() {
    static constexpr std::array<action, 14> Actions{
        &record_simulation::submit,        &record_simulation::submit,
        &record_simulation::repeat,        &record_simulation::cancel,
        &record_simulation::progress,      &record_simulation::progress,
        &record_simulation::deleteExpired, &record_simulation::deleteExpired,
        &record_simulation::notify,        &record_simulation::notify,
        &record_simulation::read,          &record_simulation::read,
        &record_simulation::truncate,      &record_simulation::toggleStale};
    for (Step = 0; Step < Steps; ++Step) {
      Now += StepTime;
      (this->*Actions[Random() % Actions.size()])();
      checkKnownJobs();
    }
  }
  /// Reads everything without failures.
  void settle() {
    Faulty = false;
    for (topic &Each : Topics)
      Each.Log.StaleEnd.reset();
    for (int I = 0; I < FinalReads; ++I) {
      Now += StepTime;
      read();
    }
  }
  std::string firstProblem() const { return Problem; }
  /// What the registry shows differently from the newest records.
  std::string difference() const {
    for (const auto &[Name, Expected] : Jobs) {
      const registered_job *Found = Registry.find(job_id(Name));
      if ((Found != nullptr) != Expected.Submitted)
        return Name + " submitted";
      if (Found && Found->Cancelled != Expected.Cancelled)
        return Name + " cancelled";
      if (Found && Found->Progress != Expected.Progress)
        return Name + " progress";
    }
    return "";
  }

private:
  enum : std::size_t { JobsTopic, ProgressTopic };
  using action = void (record_simulation::*)();
  struct topic {
    topic_log Log;
    std::vector<work_record> Values; ///< of the records, by offset
    std::vector<int> AppendedAt;     ///< steps, by offset
    topic_follower Follower;
    std::optional<topic_command> PendingRead;
    std::optional<time_point> Timer;
  };
  /// State of a job by its newest records.
  struct job_truth {
    bool Submitted = false;
    bool Cancelled = false;
    job_progress Progress;
    int EndedAt = 0;                  ///< step
    std::uint64_t LastJobsRecord = 0; ///< offset
    bool Seen = false;                ///< the registry had its submission
    std::size_t Shown = 0; ///< tasks in the progress that it showed last
  };

  int randomBelow(int Count) {
    return static_cast<int>(Random() % static_cast<unsigned>(Count));
  }
  /// The reader is never behind by the time for which ended jobs are kept.
  bool mayDelete(const job_truth &Job) const {
    return ended(Job.Progress.State) && Step - Job.EndedAt >= RetentionSteps &&
           Topics[JobsTopic].Follower.reached(Job.LastJobsRecord + 1);
  }
  std::pair<const std::string, job_truth> *randomJob() {
    if (Jobs.empty())
      return nullptr;
    constexpr int RecentJobs = 3;
    const int Count = static_cast<int>(Jobs.size());
    auto Found = std::prev(Jobs.end());
    std::advance(Found, -randomBelow(randomBelow(2) == 0
                                         ? Count
                                         : std::min(Count, RecentJobs)));
    return &*Found;
  }

  void append(std::size_t Topic, const std::string &Key,
              const std::optional<work_record> &Value) {
    topic &To = Topics[Topic];
    To.Log.Records.push_back({.Key = Key,
                              .Value = Value ? "v" : "",
                              .Deleted = !Value,
                              .Offset = To.Log.Records.size()});
    To.Values.push_back(Value.value_or(term_leader{}));
    To.AppendedAt.push_back(Step);
  }

  // Writers.

  void submit() {
    const std::string Name = jobName(Jobs.size());
    Jobs[Name].Submitted = true;
    appendSubmission(Name);
  }
  /// An append whose answer was lost is executed again.
  void repeat() {
    if (auto *Job = randomJob(); Job && Job->second.Submitted)
      appendSubmission(Job->first);
  }
  void appendSubmission(const std::string &Name) {
    append(JobsTopic, submissionKey(job_id(Name)),
           job_submitted{testing::makeJob(Name)});
    Jobs[Name].LastJobsRecord = Topics[JobsTopic].Log.Records.size() - 1;
  }
  void cancel() {
    auto *Job = randomJob();
    if (!Job || !Job->second.Submitted || ended(Job->second.Progress.State))
      return;
    Job->second.Cancelled = true;
    append(JobsTopic, cancellationKey(job_id(Job->first)),
           job_cancelled{job_id(Job->first)});
  }
  void progress() {
    auto *Job = randomJob();
    if (!Job || !Job->second.Submitted || ended(Job->second.Progress.State))
      return;
    job_progress &Progress = Job->second.Progress;
    Progress.State =
        randomBelow(3) == 0 ? job_state::Completed : job_state::Running;
    Progress.Tasks.resize(Progress.Tasks.size() + 1);
    Job->second.EndedAt = Step;
    append(ProgressTopic, progressKey(job_id(Job->first)),
           job_progressed{job_id(Job->first), Progress});
  }
  void deleteExpired() {
    auto *Found = randomJob();
    if (!Found)
      return;
    job_truth &Job = Found->second;
    if (!mayDelete(Job))
      return;
    const job_id Id(Found->first);
    if (std::exchange(Job.Submitted, false)) {
      append(JobsTopic, submissionKey(Id), std::nullopt);
      return;
    }
    append(JobsTopic, cancellationKey(Id), std::nullopt);
    append(ProgressTopic, progressKey(Id), std::nullopt);
    Job = {};
  }

  // The reader.

  void notify() {
    const std::size_t Which = Random() % Topics.size();
    topic &From = Topics[Which];
    const int Count = static_cast<int>(From.Log.Records.size());
    if (Count == 0)
      return;
    const auto Offset = static_cast<std::size_t>(
        Count - 1 - randomBelow(std::min(Count, NotificationSteps)));
    if (!From.Log.Records[Offset].Deleted &&
        Step - From.AppendedAt[Offset] <= NotificationSteps)
      deliver(Which, From.Log.Records[Offset]);
  }
  void deliver(std::size_t Topic, const keyed_record &Record) {
    const record_position Position{Record.Key, Record.Offset};
    if (Record.Deleted)
      Registry.forget(Position);
    else
      Registry.apply(Position, Topics[Topic].Values[Record.Offset]);
  }

  void read() {
    const std::size_t Which = Random() % Topics.size();
    topic &Topic = Topics[Which];
    if (!Topic.PendingRead) {
      if (Topic.Timer && *Topic.Timer <= Now) {
        Topic.Timer.reset();
        feed(Which, topic_timer_expired{});
      }
      return;
    }
    const topic_command Read = *std::exchange(Topic.PendingRead, std::nullopt);
    if (Faulty && randomBelow(4) == 0)
      feed(Which, topic_read_failed{});
    else if (const auto *Newest = std::get_if<read_newest>(&Read))
      feed(Which, Topic.Log.newest(Newest->After));
    else
      feed(Which, Topic.Log.read(std::get<read_topic>(Read).From));
  }
  void feed(std::size_t Which, const topic_event &Event) {
    topic &Topic = Topics[Which];
    for (const topic_command &Command : Topic.Follower.handle(Event, Now)) {
      if (const auto *Delivered = std::get_if<deliver_record>(&Command))
        deliver(Which, Delivered->Record);
      else if (const auto *Timer = std::get_if<set_topic_timer>(&Command))
        Topic.Timer = Timer->At;
      else if (!std::holds_alternative<topic_loaded>(Command))
        Topic.PendingRead = Command;
    }
  }
  void truncate() {
    topic_log &Log = Topics[Random() % Topics.size()].Log;
    if (randomBelow(3) == 0)
      Log.First = Log.Records.size();
  }
  void toggleStale() {
    topic_log &Log = Topics[Random() % Topics.size()].Log;
    if (Log.StaleEnd)
      Log.StaleEnd.reset();
    else
      Log.StaleEnd = Log.Records.size();
  }

  /// A job that was known stays known until its submission is deleted, and its
  /// progress never goes back.
  void checkKnownJobs() {
    for (auto &[Name, Job] : Jobs) {
      const registered_job *Found = Registry.find(job_id(Name));
      const std::size_t Shown = Found ? Found->Progress.Tasks.size() : 0;
      if (Job.Submitted && Problem.empty() &&
          ((Job.Seen && !Found) || Shown < Job.Shown))
        Problem = Name + " at step " + std::to_string(Step);
      Job.Seen |= Found != nullptr;
      Job.Shown = Shown;
    }
  }

  std::mt19937 Random;
  time_point Now{std::chrono::hours(1)};
  int Step = 0;
  bool Faulty = true;
  std::array<topic, 2> Topics;
  std::map<std::string, job_truth> Jobs;
  job_registry Registry;
  std::string Problem;
};

} // namespace

TEST_GROUP(RecordOrderProperty){};

TEST(RecordOrderProperty, AKnownJobStaysKnownAndItsProgressNeverGoesBack) {
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    record_simulation Simulation(Seed);
    Simulation.run();
    STRCMP_EQUAL_TEXT("", Simulation.firstProblem().c_str(),
                      ("seed " + std::to_string(Seed)).c_str());
  }
}

TEST(RecordOrderProperty, TheRegistryShowsTheNewestRecordsOfEachJob) {
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    record_simulation Simulation(Seed);
    Simulation.run();
    Simulation.settle();
    STRCMP_EQUAL_TEXT("", Simulation.difference().c_str(),
                      ("seed " + std::to_string(Seed)).c_str());
  }
}
