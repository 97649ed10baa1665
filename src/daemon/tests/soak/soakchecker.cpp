#include "daemon/tests/soak/soakchecker.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <utility>

namespace geraniumpaddle::tests {

namespace {

using namespace std::chrono_literals;

/// Bounds of the platform's rules.
constexpr duration StableWindow = 4s;
constexpr duration LossSlack = 200ms;
constexpr duration VisibleAfter = 3s;
constexpr duration LongestStandstill = 3s;
constexpr unsigned Attempts = 2;
/// The others are only in the report of the run.
constexpr std::size_t MaxPrinted = 20;

constexpr int Success = 200;
constexpr int Gone = 410;
constexpr int TooManyRequests = 429;
constexpr int Unavailable = 503;

std::string stateIn(const std::string &Body) {
  const auto Object = nlohmann::json::parse(Body, nullptr, false);
  return Object.is_object() ? Object.value("State", "") : "";
}

std::string jobOfTask(const std::string &Task) {
  return Task.substr(0, Task.find('.'));
}

std::string idOf(const std::string &Path) {
  return Path.substr(Path.rfind('/') + 1);
}

} // namespace

void soak_checker::action(const std::string &What) {
  Actions.push_back(std::to_string(millisecondsOf(Loop.now() - Start)) +
                    " ms: " + What);
}

std::size_t soak_checker::beginTrouble(const std::string &Entry) {
  Troubles.push_back({.Entry = Entry, .From = Loop.now()});
  return Troubles.size() - 1;
}

void soak_checker::endTrouble(std::size_t Number) {
  Troubles.at(Number).Until = Loop.now();
}

bool soak_checker::troubled(const std::string &Entry, time_point From) const {
  return std::any_of(
      Troubles.begin(), Troubles.end(), [&](const trouble &Trouble) {
        return (Trouble.Entry.empty() || Trouble.Entry == Entry) &&
               (!Trouble.Until || *Trouble.Until >= From);
      });
}

void soak_checker::planned(const std::string &Entry, const std::string &What,
                           duration SentWithin, duration EndWithin) {
  const time_point Now = Loop.now();
  PlannedWork.push_back({Entry, What, Now, Now + SentWithin, Now + EndWithin});
}

soak_job &soak_checker::addJob(soak_job Job) {
  const std::string Path = Job.Path;
  return Jobs.insert_or_assign(Path, std::move(Job)).first->second;
}

std::string soak_checker::describe(const soak_call &Call,
                                   const exchange_result &Result) const {
  return Call.Method + " " + Call.Path + " at " + Call.Entry + ", sent at " +
         std::to_string(millisecondsOf(Result.SentAt - Start)) +
         " ms, ended at " +
         std::to_string(millisecondsOf(Result.EndedAt - Start)) + " ms";
}

void soak_checker::violation(const std::string &What) {
  Violations.push_back(std::to_string(millisecondsOf(Loop.now() - Start)) +
                       " ms: " + What);
  if (Violations.size() > MaxPrinted)
    return;
  std::printf("  at %lld ms: %s\n",
              static_cast<long long>(millisecondsOf(Loop.now() - Start)),
              What.c_str());
  std::fflush(stdout);
}

void soak_checker::onResult(const soak_call &Call,
                            const exchange_result &Result) {
  ++Calls;
  if (Result.Outcome == exchange_outcome::Broken)
    onBroken(Call, Result);
  const auto Found = Jobs.find(Call.Path);
  if (Found == Jobs.end())
    return;
  if (Call.Method == "POST")
    onSubmitted(Found->second, Result);
  else if (Call.Method == "DELETE")
    Found->second.CancelAcknowledged |=
        Result.Outcome == exchange_outcome::Answered && Result.Code == Success;
  else if (Call.Method == "GET")
    onState(Found->second, Call, Result);
}

void soak_checker::onBroken(const soak_call &Call,
                            const exchange_result &Result) {
  ++BrokenCalls;
  if (Result.EndedAt - Result.SentAt <= LossSlack ||
      troubled(Call.Entry, Result.SentAt - StableWindow))
    return;
  std::string Cause = "without planned work";
  for (const planned_work &Work : PlannedWork)
    if ((Work.Entry.empty() || Work.Entry == Call.Entry) &&
        Result.SentAt <= Work.LastSent && Result.EndedAt >= Work.At &&
        Result.EndedAt <= Work.LastEnd)
      Cause = "around a " + Work.What + " at " +
              std::to_string(millisecondsOf(Work.At - Start)) + " ms";
  violation("no answer " + Cause + ": " + describe(Call, Result));
}

void soak_checker::onSubmitted(soak_job &Job, const exchange_result &Result) {
  Job.SubmissionOpen = false;
  if (Result.Outcome == exchange_outcome::NotSent)
    return;
  const bool Answered = Result.Outcome == exchange_outcome::Answered;
  const bool Refused = Answered && (Result.Code == TooManyRequests ||
                                    Result.Code == Unavailable);
  if (Answered && Result.Code == Success)
    Job.AcceptedAt = Job.AcceptedAt.value_or(Result.EndedAt);
  else if (!Refused)
    Job.MaybeStored = true;
}

void soak_checker::onState(soak_job &Job, const soak_call &Call,
                           const exchange_result &Result) {
  if (Result.Outcome != exchange_outcome::Answered)
    return;
  if (Result.Code == Gone && Job.AcceptedAt && !Job.CancelRequested &&
      Result.SentAt > *Job.AcceptedAt + VisibleAfter &&
      !std::exchange(Job.ReportedUnknown, true))
    violation("410 for an accepted job: " + describe(Call, Result) +
              ", accepted at " +
              std::to_string(millisecondsOf(*Job.AcceptedAt - Start)) + " ms");
  if (Result.Code != Success)
    return;
  const std::string State = stateIn(Result.Body);
  const bool Changed = State != std::exchange(Job.State, State);
  if (!Changed)
    return;
  if (State == "failed" && !Job.MustFail)
    violation("failed without cause: " + describe(Call, Result));
  if (State == "cancelled" && !Job.CancelRequested)
    violation("cancelled without cause: " + describe(Call, Result));
  if (State == "completed" && Job.MustFail)
    violation("completed though its task fails: " + describe(Call, Result));
}

void soak_checker::onSnapshot(const worker_snapshot &Snapshot) {
  const time_point Now = Loop.now();
  for (auto &[Path, Job] : Jobs) {
    if (!Job.AcceptedAt || Job.CancelRequested || Job.ended())
      continue;
    const bool Runs =
        std::find(Snapshot.RunningJobs.begin(), Snapshot.RunningJobs.end(),
                  idOf(Path)) != Snapshot.RunningJobs.end();
    const auto [Last, IsNew] = LastActive.try_emplace(Path, Now);
    if (Runs || !Snapshot.UnderHalfUsed)
      Last->second = Now;
    if (Now - Last->second < LongestStandstill)
      continue;
    violation("stands still since " +
              std::to_string(millisecondsOf(Last->second - Start)) +
              " ms: " + Path + ", state " + Job.State + ", " + Job.Body);
    Last->second = time_point::max();
  }
}

bool soak_checker::allSettled() const {
  return std::all_of(Jobs.begin(), Jobs.end(), [](const auto &Item) {
    return !Item.second.AcceptedAt || Item.second.settled();
  });
}

void soak_checker::checkEnds() {
  for (const auto &[Path, Job] : Jobs)
    if (Job.AcceptedAt && !Job.settled())
      violation("not ended: " + Path + ", state " + Job.State);
}

void soak_checker::checkStarted(const std::map<std::string, unsigned> &Tasks) {
  std::map<std::string, unsigned> MostFailures;
  for (const auto &[Task, Failures] : Tasks) {
    unsigned &Most = MostFailures[jobOfTask(Task)];
    Most = std::max(Most, Failures);
  }
  for (const auto &[Path, Job] : Jobs) {
    const auto Found = MostFailures.find(idOf(Path));
    if (Job.refused() && Found != MostFailures.end())
      violation("refused and started: " + Path);
    if (Job.State == "failed" &&
        (Found == MostFailures.end() || Found->second < Attempts))
      violation("failed after fewer failures than its attempts: " + Path);
  }
}

bool soak_checker::hasLastingJobs() const {
  return std::any_of(Jobs.begin(), Jobs.end(), [](const auto &Item) {
    return Item.second.AcceptedAt && Item.second.Lasting &&
           !Item.second.CancelRequested;
  });
}

std::string soak_checker::summary() const {
  std::size_t Accepted = 0;
  std::size_t Refused = 0;
  for (const auto &[Path, Job] : Jobs) {
    Accepted += Job.AcceptedAt ? 1 : 0;
    Refused += Job.refused() ? 1 : 0;
  }
  return std::to_string(Accepted) + " accepted, " + std::to_string(Refused) +
         " refused, " + std::to_string(Jobs.size() - Accepted - Refused) +
         " unknown, " + std::to_string(Calls) + " calls, " +
         std::to_string(BrokenCalls) + " broken, " +
         std::to_string(Violations.size()) + " violations";
}

} // namespace geraniumpaddle::tests
