#include "core/work/workerpool.h"

namespace geraniumpaddle::work {

pool_worker *worker_pool::find(const worker_id &Worker) {
  const auto Found = Workers.find(Worker);
  return Found == Workers.end() ? nullptr : &Found->second;
}

pool_worker *worker_pool::find(const worker_instance &Instance) {
  pool_worker *Found = find(Instance.Worker);
  return Found && Found->Description.Instance == Instance ? Found : nullptr;
}

const pool_worker *worker_pool::find(const worker_instance &Instance) const {
  const auto Found = Workers.find(Instance.Worker);
  return Found != Workers.end() &&
                 Found->second.Description.Instance == Instance
             ? &Found->second
             : nullptr;
}

pool_worker &worker_pool::add(const worker_instance &Instance) {
  pool_worker &Worker = Workers[Instance.Worker];
  Worker.Description.Instance = Instance;
  numberOrders(Worker);
  return Worker;
}

void worker_pool::addFromLog(const worker_instance &Instance,
                             time_point LeaseEnd) {
  pool_worker *Known = find(Instance.Worker);
  if (!Known)
    Known = &add(Instance);
  else if (Known->Description.Instance.StartTimeMs < Instance.StartTimeMs)
    replaceInstance(*Known, Instance);
  else
    return;
  Known->LeaseEnd = LeaseEnd;
}

void worker_pool::replaceInstance(pool_worker &Worker,
                                  const worker_instance &Next) {
  pool_worker Replacement{.Used = Worker.Used,
                          .Freeing = Worker.Freeing,
                          .Runs = std::move(Worker.Runs)};
  Replacement.Description.Instance = Next;
  numberOrders(Replacement);
  for (live_run *Run : Replacement.Runs)
    Run->Listed = false;
  Worker = std::move(Replacement);
}

pool_worker &worker_pool::applyReport(const worker_report &Report,
                                      time_point Now) {
  const worker_instance &Instance = Report.Description.Instance;
  pool_worker *Existing = find(Instance);
  pool_worker &Worker = Existing ? *Existing : add(Instance);
  Worker.Description = Report.Description;
  Worker.HasReported = true;
  Worker.Reachable = Report.Reachable;
  Worker.Evacuated = Evacuated.contains(Report.Description.Zone);
  const bool Answered =
      Report.Listing && Report.Listing->ClockMs > Worker.ListedClockMs;
  if (Answered)
    Worker.ListedClockMs = Report.Listing->ClockMs;
  if (Answered || !Existing)
    Worker.LeaseEnd = leaseEnd(Now);
  // A repeated report has the remaining time as of an earlier heartbeat.
  Worker.DrainDeadline = Report.Description.Draining
                             ? std::min(Worker.DrainDeadline,
                                        Now + Report.Description.DrainRemaining)
                             : time_point::max();
  return Worker;
}

void worker_pool::applyEvacuations() {
  for (auto &[Id, Worker] : Workers)
    Worker.Evacuated = Evacuated.contains(Worker.Description.Zone);
}

void worker_pool::allocate(live_run &Run) {
  pool_worker &Worker = workerOf(Run);
  Worker.Used += Run.Need;
  if (Run.Stopping)
    Worker.Freeing += Run.Need;
  Worker.Runs.push_back(&Run);
}

void worker_pool::release(const live_run &Run) {
  pool_worker &Worker = workerOf(Run);
  Worker.Used -= Run.Need;
  if (Run.Stopping)
    Worker.Freeing -= Run.Need;
  std::erase(Worker.Runs, &Run);
}

void worker_pool::markFreeing(const live_run &Run) {
  workerOf(Run).Freeing += Run.Need;
}

time_point worker_pool::leaseEnd(time_point Now) const {
  const auto Longest = std::chrono::duration_cast<duration>(
      Limits.Lease * (1.0 + MaxWorkerClockDrift));
  return Now + Longest + LeaseMargin;
}

} // namespace geraniumpaddle::work
