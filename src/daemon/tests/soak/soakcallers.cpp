#include "daemon/tests/soak/soakcallers.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <initializer_list>
#include <utility>

namespace geraniumpaddle::tests {

namespace {

using json = nlohmann::json;
using namespace std::chrono_literals;

constexpr int CallerCount = 8;
/// One seed out of this many has lasting jobs, which make its run longer.
constexpr unsigned SeedsPerLastingJob = 3;
/// The job that is a lasting one, counted from 0.
constexpr unsigned LastingJobNumber = 2;
/// Out of 1000 calls, while there are jobs to choose from.
constexpr int NewJobShare = 30;
constexpr int CancelShare = 3;
constexpr int DuplicateShare = 10;
constexpr int CountShare = 20;
constexpr int RepeatShare = 200;
constexpr int AllShares = 1000;
/// Jobs accepted between these times ago are read often: entries that lag
/// behind may not know them.
constexpr duration VisibleAfter = 3s;
constexpr duration RecentlyAccepted = 8s;

/// A step with tasks of two accelerators.
json step(int Count) {
  return {{"Count", Count},
          {"Cpu", 1000},
          {"MemMb", 10},
          {"Gpu", 2},
          {"EstimatedMs", 1000}};
}

json withField(json Object, const char *Name, const json &Value) {
  Object[Name] = Value;
  return Object;
}

soak_job makeJob(const json &Payload, std::initializer_list<json> Steps) {
  json Body = json::object();
  Body["Spec"] = Payload.dump();
  Body["Steps"] = std::vector<json>(Steps);
  return {.Body = Body.dump()};
}

std::string httpRequest(const soak_call &Call, const std::string &Body,
                        duration Timeout) {
  return Call.Method + " " + Call.Path +
         " HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Bearer key\r\n"
         "Content-Type: application/json\r\nX-Timeout-Ms: " +
         std::to_string(millisecondsOf(Timeout)) +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

} // namespace

soak_callers::soak_callers(process_cluster &Cluster, soak_checker &Checker,
                           std::vector<std::string> Entries, unsigned Seed)
    : Cluster(Cluster), Checker(Checker), Entries(std::move(Entries)),
      Random(Seed), HasLastingJobs(Seed % SeedsPerLastingJob == 0) {}

void soak_callers::start() {
  for (int I = 0; I < CallerCount; ++I) {
    Callers.push_back(std::make_unique<caller>());
    next(*Callers.back());
  }
}

void soak_callers::next(caller &Caller) {
  if (!Caller.Connection || !Caller.Connection->usable()) {
    Caller.Entry = Entries[static_cast<std::size_t>(
        randomBelow(static_cast<int>(Entries.size())))];
    Caller.Connection = std::make_unique<kept_connection>(
        Cluster.loop(), Cluster.address(Caller.Entry + ".front"));
  }
  prepared_call Prepared = chooseCall();
  Prepared.Call.Entry = Caller.Entry;
  const duration Timeout = randomBelow(4) == 0 ? 8s : 3s;
  Caller.Connection->send(
      httpRequest(Prepared.Call, Prepared.Body, Timeout), Timeout + 300ms,
      [this, &Caller, Call = Prepared.Call](const exchange_result &Result) {
        Checker.onResult(Call, Result);
        const duration Pause = Result.Outcome == exchange_outcome::Answered
                                   ? 1ms * randomBelow(100)
                                   : 1ms * (50 + randomBelow(200));
        Cluster.loop().startTimer(Pause, [this, &Caller] { next(Caller); });
      });
}

soak_job *
soak_callers::findJob(const std::function<bool(const soak_job &)> &Wanted) {
  std::vector<soak_job *> Found;
  for (auto &[Path, Job] : Checker.jobs())
    if (Wanted(Job))
      Found.push_back(&Job);
  return Found.empty() ? nullptr
                       : Found[static_cast<std::size_t>(
                             randomBelow(static_cast<int>(Found.size())))];
}

soak_callers::prepared_call soak_callers::submission(soak_job &Job) {
  Job.SubmissionOpen = true;
  return {{"", "POST", Job.Path}, Job.Body};
}

soak_callers::prepared_call soak_callers::chooseCall() {
  int Draw = randomBelow(AllShares);
  const auto Drawn = [&Draw](int Share) {
    const bool Hit = Draw >= 0 && Draw < Share;
    Draw -= Share;
    return Hit;
  };
  if (Drawn(NewJobShare) && Submitting)
    return submission(Checker.addJob(newJob()));
  if (Drawn(CancelShare) && Submitting)
    if (soak_job *Job = findJob([](const soak_job &Each) {
          return Each.AcceptedAt && !Each.ended();
        })) {
      Job->CancelRequested = true;
      return {{"", "DELETE", Job->Path}, ""};
    }
  if (Drawn(DuplicateShare) && Submitting)
    if (soak_job *Job = findJob(
            [](const soak_job &Each) { return Each.AcceptedAt.has_value(); }))
      return submission(*Job);
  if (Drawn(CountShare))
    return {{"", "GET", "/batch/"}, ""};
  if (Drawn(RepeatShare) && Submitting)
    if (soak_job *Job = findJob([](const soak_job &Each) {
          return !Each.AcceptedAt && Each.MaybeStored && !Each.SubmissionOpen;
        }))
      return submission(*Job);
  const soak_job *Job = chooseJobToRead();
  return {{"", "GET", Job ? Job->Path : "/batch/"}, ""};
}

soak_job *soak_callers::chooseJobToRead() {
  const time_point Now = Cluster.loop().now();
  soak_job *Job = nullptr;
  if (randomBelow(3) == 0)
    Job = findJob([Now](const soak_job &Each) {
      return Each.AcceptedAt &&
             *Each.AcceptedAt +
                 VisibleAfter<Now && * Each.AcceptedAt + RecentlyAccepted> Now;
    });
  else if (randomBelow(2) == 0)
    Job = findJob(
        [](const soak_job &Each) { return Each.AcceptedAt && !Each.ended(); });
  return Job ? Job : findJob([](const soak_job &Each) {
    return Each.AcceptedAt.has_value();
  });
}

soak_job soak_callers::newJob() {
  static constexpr std::array<job_kind, 12> Kinds{
      &soak_callers::plainJob,    &soak_callers::plainJob,
      &soak_callers::plainJob,    &soak_callers::gangJob,
      &soak_callers::sameRackJob, &soak_callers::stepsJob,
      &soak_callers::stepsJob,    &soak_callers::labelledJob,
      &soak_callers::spreadJob,   &soak_callers::failingOnceJob,
      &soak_callers::failingJob,  &soak_callers::checkpointingJob};
  const bool Lasting = HasLastingJobs && JobCount == LastingJobNumber;
  soak_job Job = Lasting ? lastingJob()
                         : (this->*Kinds[static_cast<std::size_t>(
                                       randomBelow(Kinds.size()))])();
  char Id[17];
  std::snprintf(Id, sizeof Id, "%016x", ++JobCount);
  Job.Path = std::string(randomBelow(4) == 0 ? "/urgent/" : "/batch/") + Id;
  return Job;
}

soak_job soak_callers::plainJob() {
  return makeJob({{"ms", 200 + randomBelow(1800)}, {"needs", 2}},
                 {step(1 + randomBelow(4))});
}

soak_job soak_callers::gangJob() {
  return makeJob({{"ms", 200 + randomBelow(1800)}, {"needs", 2}, {"gang", 2}},
                 {withField(step(2), "Gang", true)});
}

soak_job soak_callers::sameRackJob() {
  return makeJob(
      {{"ms", 200 + randomBelow(1800)}, {"needs", 2}, {"gang", 2}},
      {withField(withField(withField(step(2), "Gang", true), "SameRack", true),
                 "MaxPerServer", 1 + randomBelow(2))});
}

soak_job soak_callers::stepsJob() {
  return makeJob(
      {{"ms", 100 + randomBelow(700)}, {"needs", 2}},
      {step(1 + randomBelow(3)),
       withField(step(1 + randomBelow(2)), "After", json::array({0})),
       withField(step(1), "After", json::array({0, 1}))});
}

soak_job soak_callers::labelledJob() {
  static constexpr std::array<const char *, 3> Labels{"fast", "plain", "r1"};
  return makeJob({{"ms", 200 + randomBelow(800)}, {"needs", 2}},
                 {withField(step(1), "RequiredLabel",
                            Labels[static_cast<std::size_t>(randomBelow(3))])});
}

soak_job soak_callers::spreadJob() {
  return makeJob({{"ms", 200 + randomBelow(800)}, {"needs", 2}},
                 {withField(step(3), "MaxPerServer", 1)});
}

soak_job soak_callers::failingOnceJob() {
  return makeJob(
      {{"ms", 200 + randomBelow(400)}, {"needs", 2}, {"fail_runs", 1}},
      {step(2)});
}

soak_job soak_callers::failingJob() {
  soak_job Job =
      makeJob({{"ms", 300}, {"needs", 2}, {"fails", true}}, {step(1)});
  Job.MustFail = true;
  return Job;
}

soak_job soak_callers::lastingJob() {
  soak_job Job = makeJob({{"ms", 600000}, {"needs", 2}},
                         {withField(step(2), "LongRunning", true)});
  Job.Lasting = true;
  return Job;
}

soak_job soak_callers::checkpointingJob() {
  return makeJob({{"ms", 3000}, {"needs", 2}, {"checkpointing", true}},
                 {withField(step(2), "Checkpointing", true)});
}

} // namespace geraniumpaddle::tests
