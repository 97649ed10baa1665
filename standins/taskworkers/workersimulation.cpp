#include "standins/taskworkers/workersimulation.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace geraniumpaddle::standins {

namespace {

std::string describe(const work::run_ref &Run) {
  const auto &At = Run.Task.Position;
  return Run.Task.Job.str() + "." + std::to_string(At.Occurrence) + "." +
         std::to_string(At.Step) + "." + std::to_string(At.Index) + " run " +
         std::to_string(Run.Run);
}

} // namespace

void worker_simulation::addWorker(const worker_id &Id,
                                  const resources &Capacity, time_point Now) {
  Workers[Id] = {.Capacity = Capacity,
                 .StartTimeMs = ++LastStartTimeMs,
                 .ClockStart = Now};
  Time = std::max(Time, Now);
}

void worker_simulation::restart(const worker_id &Id, time_point Now) {
  simulated_worker &Worker = Workers.at(Id);
  std::vector<std::string> Gangs;
  for (const auto &[Key, Run] : Worker.Runs)
    if (!Run.Behaviour.Gang.empty())
      Gangs.push_back(Run.Behaviour.Gang);
  Worker = {.Capacity = Worker.Capacity,
            .Speed = Worker.Speed,
            .StartTimeMs = ++LastStartTimeMs,
            .ClockStart = Now};
  for (const std::string &Gang : Gangs)
    endGang(Gang, work::run_end_reason::GangMemberEnded,
            work::run_end_reason::GangMemberEnded, {});
}

std::uint64_t worker_simulation::startTimeMs(const worker_id &Id) const {
  return Workers.at(Id).StartTimeMs;
}

std::int64_t worker_simulation::clockMs(const worker_id &Id,
                                        time_point Now) const {
  return millisecondsOf(Now - Workers.at(Id).ClockStart);
}

worker_simulation::simulated_worker *
worker_simulation::check(const worker_id &Id, std::uint64_t Token,
                         order_result &Answer) {
  const auto Found = Workers.find(Id);
  if (Found == Workers.end()) {
    Answer = order_result::OtherWorker;
    return nullptr;
  }
  if (Token < Found->second.Token) {
    Answer = order_result::Fenced;
    return nullptr;
  }
  Found->second.Token = Token;
  Answer = order_result::Done;
  return &Found->second;
}

void worker_simulation::extendLease(simulated_worker &Worker,
                                    std::int64_t LeaseEndMs,
                                    time_point Now) const {
  const time_point Wanted =
      Worker.ClockStart + std::chrono::milliseconds(LeaseEndMs);
  Worker.LeaseEnd =
      std::max(Worker.LeaseEnd, std::min(Wanted, Now + Limits.LongestLease));
}

order_result worker_simulation::start(const worker_id &Id, std::uint64_t Token,
                                      const work::start_run &Order,
                                      time_point Now) {
  order_result Answer{};
  simulated_worker *Worker = check(Id, Token, Answer);
  if (!Worker)
    return Answer;
  const work::run_ref &Key = Order.Run.Run;
  if (Worker->Runs.contains(Key))
    return order_result::Done;
  if (Worker->ClockStart + std::chrono::milliseconds(Order.LeaseEndMs) <= Now)
    return order_result::DeadlinePassed;
  extendLease(*Worker, Order.LeaseEndMs, Now);
  const auto HighestRun = Worker->HighestRun.find(Key.Task);
  if (HighestRun != Worker->HighestRun.end() && Key.Run <= HighestRun->second)
    return order_result::Stale;
  simulated_run Run{.Run = Key,
                    .Behaviour = BehaviourOf(Key, Order.Run.Payload),
                    .ArrivedAt = Now};
  Run.Progress = std::chrono::milliseconds(
      std::strtoll(Order.Run.Checkpoint.c_str(), nullptr, 16));
  Run.InitialProgress = Run.Progress;
  checkInvariants(*Worker, Run);
  FailedRuns.try_emplace(Key.Task, 0);
  Worker->Runs.emplace(Key, std::move(Run));
  return order_result::Done;
}

void worker_simulation::checkInvariants(const simulated_worker &Worker,
                                        const simulated_run &Run) {
  for (const auto &[Id, Other] : Workers)
    for (const auto &[Key, Running] : Other.Runs)
      if (Key.Task == Run.Run.Task)
        Violations.push_back("task runs twice: " + describe(Run.Run) +
                             " while run " + std::to_string(Key.Run) +
                             " runs on " + Id.str());
  if (!Run.Behaviour.LongRunning && DoneTasks.contains(Run.Run.Task))
    Violations.push_back("started after the task was done: " +
                         describe(Run.Run));
  resources Used = Run.Behaviour.Need;
  for (const auto &[Key, Running] : Worker.Runs)
    Used += Running.Behaviour.Need;
  if (!Worker.Capacity.covers(Used))
    Violations.push_back("worker capacity exceeded: " + describe(Run.Run));
}

order_result worker_simulation::stop(const worker_id &Id, std::uint64_t Token,
                                     const work::run_ref &Run, time_point Now) {
  order_result Answer{};
  simulated_worker *Worker = check(Id, Token, Answer);
  if (!Worker)
    return Answer;
  const auto Found = Worker->Runs.find(Run);
  std::uint32_t &HighestRun = Worker->HighestRun[Run.Task];
  HighestRun = std::max(HighestRun, Run.Run);
  if (Found != Worker->Runs.end() && Found->second.StopAt == time_point{})
    Found->second.StopAt = Now + Limits.Stop;
  return Answer;
}

order_result worker_simulation::acceptListOrder(const worker_id &Id,
                                                std::uint64_t Token,
                                                const work::list_runs &Order,
                                                time_point Now) {
  order_result Answer{};
  simulated_worker *Worker = check(Id, Token, Answer);
  if (!Worker)
    return Answer;
  if (Order.LeaseEndMs)
    extendLease(*Worker, *Order.LeaseEndMs, Now);
  Worker->Acknowledged = std::max(Worker->Acknowledged, Order.AcknowledgedEnds);
  std::erase_if(Worker->Ends, [&](const work::finished_run &End) {
    if (End.Number > Worker->Acknowledged)
      return false;
    if (End.EndReason == work::run_end_reason::Done &&
        End.Number > Worker->LastVoidEnd)
      DoneTasks.insert(End.Run.Task);
    return true;
  });
  return Answer;
}

bool worker_simulation::hasUnacknowledgedEnds(const worker_id &Id) const {
  return !Workers.at(Id).Ends.empty();
}

std::string worker_simulation::checkpoint(const simulated_run &Run) const {
  if (!Run.Behaviour.Checkpointing)
    return "";
  const auto Saved = Run.Progress / Limits.CheckpointEvery;
  if (Saved == 0)
    return "";
  char Text[24];
  std::snprintf(Text, sizeof Text, "%016llx",
                static_cast<unsigned long long>(
                    millisecondsOf(Limits.CheckpointEvery * Saved)));
  return Text;
}

work::worker_listing worker_simulation::listing(const worker_id &Id,
                                                time_point Now) const {
  const simulated_worker &Worker = Workers.at(Id);
  work::worker_listing Listing{.StartTimeMs = Worker.StartTimeMs,
                               .ClockMs = clockMs(Id, Now)};
  for (const auto &[Key, Run] : Worker.Runs)
    Listing.Running.push_back(
        {.Run = Key,
         .Checkpoint = checkpoint(Run),
         .Percent = static_cast<std::int32_t>(
             100 * Run.Progress / std::max(Run.Behaviour.Work, duration(1)))});
  Listing.EndsComplete = Worker.Ends.size() < Limits.EndsPerListing;
  Listing.Finished = Worker.Ends;
  Listing.Finished.resize(std::min(Worker.Ends.size(), Limits.EndsPerListing));
  return Listing;
}

void worker_simulation::end(simulated_worker &Worker, const work::run_ref &Run,
                            work::run_end_reason EndReason) {
  const auto Found = Worker.Runs.find(Run);
  Worker.Ends.push_back({.Number = ++Worker.LastEndNumber,
                         .Run = Run,
                         .EndReason = EndReason,
                         .Checkpoint = checkpoint(Found->second)});
  std::uint32_t &HighestRun = Worker.HighestRun[Run.Task];
  HighestRun = std::max(HighestRun, Run.Run);
  FailedRuns[Run.Task] += EndReason == work::run_end_reason::Failed ? 1 : 0;
  DoneRuns += EndReason == work::run_end_reason::Done ? 1 : 0;
  Worker.Runs.erase(Found);
}

void worker_simulation::endGang(const std::string &Gang,
                                work::run_end_reason Reason,
                                work::run_end_reason OtherReason,
                                const work::run_ref &CausingRun) {
  for (auto &[Id, Worker] : Workers) {
    std::vector<work::run_ref> Members;
    for (const auto &[Key, Run] : Worker.Runs)
      if (Run.Behaviour.Gang == Gang)
        Members.push_back(Key);
    for (const work::run_ref &Key : Members)
      end(Worker, Key, Key == CausingRun ? Reason : OtherReason);
  }
}

std::uint32_t worker_simulation::runningMembers(const std::string &Gang) const {
  std::uint32_t Count = 0;
  for (const auto &[Id, Worker] : Workers)
    for (const auto &[Key, Run] : Worker.Runs)
      Count += Run.Behaviour.Gang == Gang ? 1 : 0;
  return Count;
}

bool worker_simulation::isWorkDone(const simulated_run &Run) const {
  if (Run.Progress < Run.Behaviour.Work)
    return false;
  const std::string &Gang = Run.Behaviour.Gang;
  if (Gang.empty())
    return true;
  for (const auto &[Id, Worker] : Workers)
    for (const auto &[Key, Other] : Worker.Runs)
      if (Other.Behaviour.Gang == Gang && Other.Progress < Other.Behaviour.Work)
        return false;
  return true;
}

void worker_simulation::advanceWorker(simulated_worker &Worker, time_point Now,
                                      duration Step) {
  if (Worker.LeaseEnd <= Now)
    Worker.LastVoidEnd = Worker.LastEndNumber;
  std::vector<work::run_ref> Keys;
  for (const auto &[Key, Run] : Worker.Runs)
    Keys.push_back(Key);
  for (const work::run_ref &Key : Keys) {
    const auto Found = Worker.Runs.find(Key);
    if (Found == Worker.Runs.end())
      continue; // ended with its gang
    simulated_run &Run = Found->second;
    const std::string Gang = Run.Behaviour.Gang;
    auto EndRun = [&](work::run_end_reason EndReason,
                      work::run_end_reason OtherReason) {
      if (Gang.empty())
        end(Worker, Key, EndReason);
      else
        endGang(Gang, EndReason, OtherReason, Key);
    };
    if (Worker.LeaseEnd <= Now) {
      EndRun(work::run_end_reason::LeaseExpired,
             work::run_end_reason::GangMemberEnded);
    } else if (Run.StopAt != time_point{} && Run.StopAt <= Now) {
      EndRun(work::run_end_reason::Stopped,
             work::run_end_reason::GangMemberEnded);
    } else if (!Gang.empty() && runningMembers(Gang) < Run.Behaviour.GangSize) {
      const bool GangIncomplete = Run.Progress == Run.InitialProgress &&
                                  Now - Run.ArrivedAt > Limits.GangWait;
      if (GangIncomplete)
        EndRun(work::run_end_reason::GangIncomplete,
               work::run_end_reason::GangIncomplete);
    } else if (!Run.Behaviour.Hangs) {
      const auto Advance = std::chrono::duration_cast<duration>(
          std::chrono::duration<double, duration::period>(Step) * Worker.Speed);
      Run.Progress = std::min(Run.Progress + Advance, Run.Behaviour.Work);
      if (!isWorkDone(Run))
        continue;
      if (Run.Behaviour.Fails ||
          FailedRuns[Key.Task] < Run.Behaviour.FailedRuns)
        EndRun(work::run_end_reason::Failed,
               work::run_end_reason::GangMemberEnded);
      else
        EndRun(work::run_end_reason::Done, work::run_end_reason::Done);
    }
  }
}

void worker_simulation::advance(time_point Now) {
  const duration Step = Now - Time;
  Time = Now;
  for (auto &[Id, Worker] : Workers)
    advanceWorker(Worker, Now, Step);
}

resources worker_simulation::used(const worker_id &Id) const {
  resources Used;
  for (const auto &[Key, Run] : Workers.at(Id).Runs)
    Used += Run.Behaviour.Need;
  return Used;
}

std::size_t worker_simulation::running() const {
  std::size_t Count = 0;
  for (const auto &[Id, Worker] : Workers)
    Count += Worker.Runs.size();
  return Count;
}

} // namespace geraniumpaddle::standins
