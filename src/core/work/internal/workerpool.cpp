#include "core/work/workerpool.h"

namespace geraniumpaddle::work {

pool_worker *worker_pool::find(const worker_id &Worker) {
  const auto Found = Workers.find(Worker);
  return Found == Workers.end() ? nullptr : &Found->second;
}

pool_worker *worker_pool::find(const worker_instance &Life) {
  pool_worker *Found = find(Life.Worker);
  return Found && Found->Description.Life == Life ? Found : nullptr;
}

const pool_worker *worker_pool::find(const worker_instance &Life) const {
  const auto Found = Workers.find(Life.Worker);
  return Found != Workers.end() && Found->second.Description.Life == Life
             ? &Found->second
             : nullptr;
}

pool_worker &worker_pool::expect(const worker_instance &Life,
                                 time_point LeaseEnd) {
  pool_worker &Worker = Workers[Life.Worker];
  Worker.Description.Life = Life;
  Worker.LeaseEnd = LeaseEnd;
  return Worker;
}

pool_worker &worker_pool::heard(const worker_report &Report, time_point Now) {
  pool_worker &Worker = Workers[Report.Description.Life.Worker];
  Worker.Description = Report.Description;
  Worker.Described = true;
  Worker.Reachable = Report.Reachable;
  Worker.LeaseEnd = leaseEnd(Now);
  // A repeated report tells the time left as of an earlier heartbeat.
  Worker.LeavesAt =
      Report.Description.Draining
          ? std::min(Worker.LeavesAt, Now + Report.Description.DrainRemaining)
          : time_point::max();
  return Worker;
}

void worker_pool::hold(live_run &Run) {
  pool_worker *Worker = find(Run.Worker);
  if (!Worker)
    return;
  Worker->Used += Run.Need;
  if (Run.Stopping)
    Worker->Freed += Run.Need;
  Worker->Runs.push_back(&Run);
}

void worker_pool::release(const live_run &Run) {
  pool_worker *Worker = find(Run.Worker);
  if (!Worker)
    return;
  Worker->Used -= Run.Need;
  if (Run.Stopping)
    Worker->Freed -= Run.Need;
  std::erase(Worker->Runs, &Run);
}

void worker_pool::free(const live_run &Run) {
  if (pool_worker *Worker = find(Run.Worker))
    Worker->Freed += Run.Need;
}

time_point worker_pool::leaseEnd(time_point Now) const {
  const auto Longest = std::chrono::duration_cast<duration>(
      Limits.Lease * (1.0 + WorkerClockError));
  return Now + Longest + LeaseMargin;
}

} // namespace geraniumpaddle::work
