#include "ledgerworkload.h"

#include <array>

namespace geraniumpaddle {

namespace {

constexpr int AcceleratorsPerWorker = 8;
constexpr int WorkersPerRack = 3;
constexpr int Zones = 7;
constexpr int Customers = 46;
/// Percentage of the cluster's accelerators that jobs occupy.
constexpr int FillPercent = 85;
constexpr std::array<int, 6> GangSizes{1, 2, 4, 8, 16, 64};
constexpr std::size_t RetainedRecords = 256;

std::string named(const char *Prefix, int Number) {
  return Prefix + std::to_string(Number);
}

} // namespace

record ledger_workload::makeRecord(record_body Body) {
  record Record{{node_id("entry-perth-east-1"), incarnation{1}, ++Sequence},
                actor_id("operator-ada"),
                wall_time(std::chrono::milliseconds(1'700'000'000'000)),
                std::move(Body)};
  if (LastRecords.size() == RetainedRecords)
    LastRecords.erase(LastRecords.begin());
  LastRecords.push_back(Record);
  return Record;
}

record_body ledger_workload::registration(int Worker,
                                          std::uint64_t Incarnation) const {
  const int Rack = Worker / WorkersPerRack;
  worker_registered Registration;
  Registration.Worker = {worker_id(named("worker-", Worker)),
                         region_id(named("region-", Rack % 2)),
                         availability_zone_id(named("zone-", Rack % Zones)),
                         rack_id(named("rack-", Rack)),
                         {AcceleratorsPerWorker, 128'000, 256'000}};
  Registration.Agent = node_id(named("agent-", Worker));
  Registration.AgentIncarnation = incarnation{Incarnation};
  Registration.PeerAddress = "10.20.30.40:7100";
  Registration.Service = service_id("bookdesk");
  Registration.Slots = 8;
  return Registration;
}

std::vector<record> ledger_workload::registrations() {
  std::vector<record> Records;
  Records.reserve(Workers);
  for (int Worker = 0; Worker < Workers; ++Worker)
    Records.push_back(makeRecord(registration(Worker, Incarnation)));
  return Records;
}

std::vector<record> ledger_workload::restarts(int Count) {
  std::vector<record> Records;
  Records.reserve(Count);
  for (int Index = 0; Index < Count; ++Index)
    Records.push_back(
        makeRecord(registration(Index % Workers, 2 + Index / Workers)));
  return Records;
}

std::vector<record> ledger_workload::customers() {
  std::vector<record> Records;
  for (int Index = 0; Index < Customers; ++Index) {
    customers_changed Change;
    Change.Base = config_version{static_cast<std::uint64_t>(Index)};
    customer_config &Config = Change.Put.emplace_back();
    Config.Id = customer_id(named("customer-", Index));
    Config.DisplayName = named("Customer number ", Index);
    Config.Guarantees = {{cell_level::Four, 2}, {cell_level::Worker, 1}};
    Config.Limits = {100, 200, 64};
    Records.push_back(makeRecord(std::move(Change)));
  }
  return Records;
}

std::vector<record> ledger_workload::limitChanges(const ledger &Ledger,
                                                  int Count) {
  std::vector<record> Records;
  Records.reserve(Count);
  for (int Index = 0; Index < Count; ++Index) {
    customers_changed Change;
    Change.Base = config_version{raw(Ledger.version()) + Index};
    Change.Put.push_back(
        Ledger.customers()[Index % Ledger.customers().size()].Config);
    Change.Put.back().Limits.Burst = 200 + Index;
    Records.push_back(makeRecord(std::move(Change)));
  }
  return Records;
}

std::vector<record> ledger_workload::submissions(int Tasks) {
  std::vector<record> Records;
  int AcceleratorsLeft = Workers * AcceleratorsPerWorker * FillPercent / 100;
  for (int Job = 0; Tasks > 0; ++Job) {
    const int Size = std::min<int>(Tasks, GangSizes[Job % GangSizes.size()]);
    job_submitted Submission;
    Submission.Spec.Id = job_id(named("nightly-maps-", Job));
    Submission.Spec.Customer = customer_id(named("customer-", Job % Customers));
    Submission.Spec.Command = "render --quality high --pages 400";
    const int Accelerators = AcceleratorsLeft >= Size ? 1 : 0;
    Submission.Spec.Tasks.assign(Size, {{Accelerators, 100, 100}});
    AcceleratorsLeft -= Size * Accelerators;
    Tasks -= Size;
    Records.push_back(makeRecord(std::move(Submission)));
  }
  return Records;
}

task_assignment ledger_workload::assign(std::uint32_t Task,
                                        const resources &Need) {
  if (Need.Accelerators == 0)
    return {Task, worker_id(named("worker-", NextWorker++ % Workers)), 0,
            false};
  const int Accelerator = NextAccelerator++;
  return {Task,
          worker_id(named("worker-", Accelerator / AcceleratorsPerWorker)),
          1U << (Accelerator % AcceleratorsPerWorker), false};
}

std::vector<record> ledger_workload::placements(const ledger &Ledger) {
  std::vector<record> Records;
  for (const job_entry *Job : Ledger.waitingJobs()) {
    job_placed Placement;
    Placement.Job = Job->Spec.Id;
    Placement.Attempt = Job->Attempt + 1;
    std::uint32_t Task = 0;
    for (const task_spec &Spec : Job->Spec.Tasks)
      Placement.Assignments.push_back(assign(Task++, Spec.Need));
    Records.push_back(makeRecord(std::move(Placement)));
  }
  return Records;
}

std::vector<record> ledger_workload::starts(const ledger &Ledger) {
  std::vector<record> Records;
  for (const job_entry *Job : Ledger.runningAttempts())
    Records.push_back(makeRecord(job_started{Job->Spec.Id, Job->Token}));
  return Records;
}

std::vector<record> ledger_workload::aborts(const ledger &Ledger) {
  std::vector<record> Records;
  for (const job_entry *Job : Ledger.runningAttempts())
    Records.push_back(makeRecord(
        job_ended{Job->Spec.Id, Job->Token, job_outcome::Aborted, {}, {}}));
  return Records;
}

std::vector<record> ledger_workload::shortJobs(int Count) {
  std::vector<record> Records;
  Records.reserve(Count);
  for (int Index = 0; Index < Count; ++Index) {
    job_submitted Submission;
    Submission.Spec.Id = job_id(named("short-", Index));
    Submission.Spec.Customer = customer_id("customer-1");
    Submission.Spec.Tasks.assign(1, {{1, 100, 100}});
    Records.push_back(makeRecord(std::move(Submission)));
    Records.push_back(
        makeRecord(job_cancelled{job_id(named("short-", Index))}));
  }
  return Records;
}

} // namespace geraniumpaddle
