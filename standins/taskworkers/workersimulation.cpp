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
  Workers[Id] = {
      .Capacity = Capacity, .StartTimeMs = ++LastBorn, .ClockZero = Now};
  Time = std::max(Time, Now);
}

void worker_simulation::restart(const worker_id &Id, time_point Now) {
  field_worker &Worker = Workers.at(Id);
  std::vector<std::string> Gangs;
  for (const auto &[Key, Run] : Worker.Runs)
    if (!Run.What.Gang.empty())
      Gangs.push_back(Run.What.Gang);
  Worker = {
      .Capacity = Worker.Capacity, .StartTimeMs = ++LastBorn, .ClockZero = Now};
  for (const std::string &Gang : Gangs)
    endGang(Gang, work::run_end_reason::GangMemberEnded,
            work::run_end_reason::GangMemberEnded, {});
}

std::uint64_t worker_simulation::startTimeMs(const worker_id &Id) const {
  return Workers.at(Id).StartTimeMs;
}

std::int64_t worker_simulation::clockMs(const worker_id &Id,
                                        time_point Now) const {
  return millisecondsOf(Now - Workers.at(Id).ClockZero);
}

worker_simulation::field_worker *
worker_simulation::check(const work::worker_instance &Life, std::uint64_t Token,
                         order_result &Answer) {
  const auto Found = Workers.find(Life.Worker);
  if (Found == Workers.end() || Found->second.StartTimeMs != Life.StartTimeMs) {
    Answer = order_result::OtherLife;
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

void worker_simulation::extendLease(field_worker &Worker,
                                    std::int64_t LeaseEndMs,
                                    time_point Now) const {
  const time_point Wanted =
      Worker.ClockZero + std::chrono::milliseconds(LeaseEndMs);
  Worker.LeaseEnd =
      std::max(Worker.LeaseEnd, std::min(Wanted, Now + Limits.LongestLease));
}

order_result worker_simulation::start(const work::worker_instance &Life,
                                      std::uint64_t Token,
                                      const work::start_run &Order,
                                      time_point Now) {
  order_result Answer{};
  field_worker *Worker = check(Life, Token, Answer);
  if (!Worker)
    return Answer;
  const work::run_ref &Key = Order.Run.Run;
  if (Worker->Runs.contains(Key))
    return order_result::Done;
  if (Worker->ClockZero + std::chrono::milliseconds(Order.LeaseEndMs) <= Now)
    return order_result::Late;
  extendLease(*Worker, Order.LeaseEndMs, Now);
  const auto Highest = Worker->Highest.find(Key.Task);
  if (Highest != Worker->Highest.end() && Key.Run <= Highest->second)
    return order_result::Stale;
  field_run Run{
      .Run = Key, .What = Behaviour(Key, Order.Run.Payload), .ArrivedAt = Now};
  Run.Worked = std::chrono::milliseconds(
      std::strtoll(Order.Run.Checkpoint.c_str(), nullptr, 16));
  Run.FirstWorked = Run.Worked;
  checkStart(*Worker, Run);
  Worker->Runs.emplace(Key, std::move(Run));
  return order_result::Done;
}

void worker_simulation::checkStart(const field_worker &Worker,
                                   const field_run &Run) {
  for (const auto &[Id, Other] : Workers)
    for (const auto &[Key, Running] : Other.Runs)
      if (Key.Task == Run.Run.Task)
        Violations.push_back("twice: " + describe(Run.Run) + " beside run " +
                             std::to_string(Key.Run) + " on " + Id.str());
  if (DoneTasks.contains(Run.Run.Task))
    Violations.push_back("started after it was done: " + describe(Run.Run));
  resources Used = Run.What.Need;
  for (const auto &[Key, Running] : Worker.Runs)
    Used += Running.What.Need;
  if (!Worker.Capacity.covers(Used))
    Violations.push_back("beyond capacity: " + describe(Run.Run));
}

order_result worker_simulation::stop(const work::worker_instance &Life,
                                     std::uint64_t Token,
                                     const work::run_ref &Run, time_point Now) {
  order_result Answer{};
  field_worker *Worker = check(Life, Token, Answer);
  if (!Worker)
    return Answer;
  const auto Found = Worker->Runs.find(Run);
  std::uint32_t &Highest = Worker->Highest[Run.Task];
  Highest = std::max(Highest, Run.Run);
  if (Found != Worker->Runs.end() && Found->second.StopAt == time_point{})
    Found->second.StopAt = Now + Limits.Stop;
  return Answer;
}

order_result worker_simulation::acceptListOrder(
    const work::worker_instance &Life, std::uint64_t Token,
    const work::list_runs &Order, time_point Now) {
  order_result Answer{};
  field_worker *Worker = check(Life, Token, Answer);
  if (!Worker)
    return Answer;
  if (Order.LeaseEndMs)
    extendLease(*Worker, *Order.LeaseEndMs, Now);
  Worker->Acknowledged = std::max(Worker->Acknowledged, Order.AcknowledgedEnds);
  std::erase_if(Worker->Ends, [&](const work::finished_run &End) {
    if (End.Number > Worker->Acknowledged)
      return false;
    if (End.EndReason == work::run_end_reason::Done)
      DoneTasks.insert(End.Run.Task);
    return true;
  });
  return Answer;
}

bool worker_simulation::hasUnacknowledgedEnds(const worker_id &Id) const {
  return !Workers.at(Id).Ends.empty();
}

std::string worker_simulation::checkpoint(const field_run &Run) const {
  if (!Run.What.Checkpointing)
    return "";
  const auto Saved = Run.Worked / Limits.CheckpointEvery;
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
  const field_worker &Worker = Workers.at(Id);
  work::worker_listing Listing{.StartTimeMs = Worker.StartTimeMs,
                               .ClockMs = clockMs(Id, Now)};
  for (const auto &[Key, Run] : Worker.Runs)
    Listing.Running.push_back(
        {.Run = Key,
         .Checkpoint = checkpoint(Run),
         .Percent = static_cast<std::int32_t>(
             100 * Run.Worked / std::max(Run.What.Work, duration(1)))});
  Listing.Finished = Worker.Ends;
  return Listing;
}

void worker_simulation::end(field_worker &Worker, const work::run_ref &Run,
                            work::run_end_reason EndReason) {
  const auto Found = Worker.Runs.find(Run);
  Worker.Ends.push_back({.Number = ++Worker.LastEnd,
                         .Run = Run,
                         .EndReason = EndReason,
                         .Checkpoint = checkpoint(Found->second)});
  std::uint32_t &Highest = Worker.Highest[Run.Task];
  Highest = std::max(Highest, Run.Run);
  DoneRuns += EndReason == work::run_end_reason::Done ? 1 : 0;
  Worker.Runs.erase(Found);
}

void worker_simulation::endGang(const std::string &Gang,
                                work::run_end_reason First,
                                work::run_end_reason Rest,
                                const work::run_ref &Which) {
  for (auto &[Id, Worker] : Workers) {
    std::vector<work::run_ref> Members;
    for (const auto &[Key, Run] : Worker.Runs)
      if (Run.What.Gang == Gang)
        Members.push_back(Key);
    for (const work::run_ref &Key : Members)
      end(Worker, Key, Key == Which ? First : Rest);
  }
}

std::uint32_t worker_simulation::present(const std::string &Gang) const {
  std::uint32_t Count = 0;
  for (const auto &[Id, Worker] : Workers)
    for (const auto &[Key, Run] : Worker.Runs)
      Count += Run.What.Gang == Gang ? 1 : 0;
  return Count;
}

void worker_simulation::advanceWorker(field_worker &Worker, time_point Now,
                                      duration Step) {
  std::vector<work::run_ref> Keys;
  for (const auto &[Key, Run] : Worker.Runs)
    Keys.push_back(Key);
  for (const work::run_ref &Key : Keys) {
    const auto Found = Worker.Runs.find(Key);
    if (Found == Worker.Runs.end())
      continue; // ended with its gang
    field_run &Run = Found->second;
    const std::string Gang = Run.What.Gang;
    auto EndWith = [&](work::run_end_reason EndReason,
                       work::run_end_reason Rest) {
      if (Gang.empty())
        end(Worker, Key, EndReason);
      else
        endGang(Gang, EndReason, Rest, Key);
    };
    if (Worker.LeaseEnd <= Now) {
      EndWith(work::run_end_reason::LeaseExpired,
              work::run_end_reason::GangMemberEnded);
    } else if (Run.StopAt != time_point{} && Run.StopAt <= Now) {
      EndWith(work::run_end_reason::Stopped,
              work::run_end_reason::GangMemberEnded);
    } else if (!Gang.empty() && present(Gang) < Run.What.GangSize) {
      const bool GangIncomplete = Run.Worked == Run.FirstWorked &&
                                  Now - Run.ArrivedAt > Limits.GangWait;
      if (GangIncomplete)
        EndWith(work::run_end_reason::GangIncomplete,
                work::run_end_reason::GangIncomplete);
    } else if (!Run.What.Hangs) {
      Run.Worked += Step;
      if (Run.Worked < Run.What.Work)
        continue;
      if (Run.What.Fails)
        EndWith(work::run_end_reason::Failed,
                work::run_end_reason::GangMemberEnded);
      else
        EndWith(work::run_end_reason::Done, work::run_end_reason::Done);
    }
  }
}

void worker_simulation::advance(time_point Now) {
  const duration Step = Now - Time;
  Time = Now;
  for (auto &[Id, Worker] : Workers)
    advanceWorker(Worker, Now, Step);
}

std::size_t worker_simulation::running() const {
  std::size_t Count = 0;
  for (const auto &[Id, Worker] : Workers)
    Count += Worker.Runs.size();
  return Count;
}

} // namespace geraniumpaddle::standins
