#pragma once

#include "core/ledger/tests/recordbuilder.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace geraniumpaddle {

/// Random bytes from which one record is generated.
using record_seed = std::array<std::uint8_t, 5>;

/// Generates records from a small set of names, so that they conflict: most are
/// valid in the current state of the ledger, some are stale, duplicates or
/// invalid.
class random_log {
public:
  explicit random_log(const ledger &Ledger) : Ledger(Ledger) {}

  record make(const record_seed &Seed) {
    constexpr std::uint8_t DuplicateOneIn = 16;
    if (Records.size() >= InitialRecords && Seed[4] % DuplicateOneIn == 0)
      return Records[Seed[1] % Records.size()];
    record Record;
    Record.Producer.Node = node_id("e" + std::to_string(Seed[4] % 3));
    Record.Producer.Incarnation = incarnation{1U + Records.size() / 100};
    Record.Producer.Sequence = Records.size() + 1;
    Record.Actor = actor_id("ada");
    Record.At = TestTime + std::chrono::milliseconds(Records.size());
    Record.Body = Records.size() < InitialRecords ? initialBody(Records.size())
                                                  : randomBody(Seed);
    Records.push_back(Record);
    return Record;
  }

private:
  static constexpr std::size_t InitialRecords = 7;

  static std::string pickName(const char *Prefix, std::size_t Number,
                              std::size_t Count) {
    return Prefix + std::to_string(Number % Count);
  }
  /// Usually one of \p Jobs, sometimes any job id.
  job_id pickJob(std::uint8_t Number,
                 std::span<const job_entry *const> Jobs) const {
    if (Jobs.empty() || Number % 8 == 0)
      return job_id(pickName("j", Number, 40));
    return Jobs[Number % Jobs.size()]->Spec.Id;
  }
  job_id pickRunningJob(const record_seed &Seed) const {
    return pickJob(Seed[1], Ledger.runningAttempts());
  }
  fencing_token pickToken(const job_id &Id, const record_seed &Seed) const {
    const job_entry *Job = Ledger.job(Id);
    return Job == nullptr || Seed[3] % 8 == 0 ? fencing_token{Seed[3]}
                                              : Job->Token;
  }

  /// The first records register workers and customers, so that jobs can be
  /// placed.
  static record_body initialBody(std::size_t Index) {
    constexpr std::size_t Workers = 4;
    if (Index < Workers)
      return workerRegistration(pickName("w", Index, 6), 1,
                                pickName("r", Index, 2));
    Index -= Workers;
    return putCustomer(Index, customerConfig(pickName("c", Index, 4),
                                             {{cell_level(Index), 1}}));
  }

  record_body randomBody(const record_seed &Seed) const {
    switch (Seed[0] % 16) {
    case 0:
    case 1:
      return customersChange(Seed);
    case 2:
      return workerRegistration(pickName("w", Seed[1], 6), 1 + Seed[2] % 3,
                                pickName("r", Seed[1], 2));
    case 3:
      return workerState(pickName("w", Seed[1], 6),
                         static_cast<worker_state>(Seed[2] % 4),
                         static_cast<state_cause>(Seed[3] % 6), 1);
    case 4:
    case 5:
    case 6:
      return jobSubmission(Seed);
    case 7:
    case 8:
    case 9:
    case 10:
      return jobPlacement(Seed);
    case 11:
    case 12: {
      const job_id Job = pickRunningJob(Seed);
      return job_started{Job, pickToken(Job, Seed)};
    }
    case 13:
    case 14: {
      const job_id Job = pickRunningJob(Seed);
      return jobEnd(Job.view(), pickToken(Job, Seed),
                    static_cast<job_outcome>(Seed[2] % 7),
                    pickName("w", Seed[3], 6));
    }
    default:
      return job_cancelled{pickRunningJob(Seed)};
    }
  }

  customers_changed customersChange(const record_seed &Seed) const {
    const std::uint64_t Base = raw(Ledger.version()) - (Seed[1] % 8 == 0);
    if (Seed[2] % 8 == 0)
      return removeCustomer(Base, pickName("c", Seed[3], 4));
    customers_changed Change = putCustomer(
        Base, customerConfig(pickName("c", Seed[3], 4),
                             {{cell_level(Seed[2] % 5), Seed[1] % 3}}));
    Change.Source = static_cast<change_source>(Seed[4] % 2);
    return Change;
  }

  static job_submitted jobSubmission(const record_seed &Seed) {
    job_submitted Submission =
        submission(pickName("j", Seed[1], 40), 1 + Seed[2] % 3,
                   1 << (Seed[3] % 4), pickName("c", Seed[4], 4));
    Submission.Spec.Idempotent = Seed[3] % 8 < 4;
    Submission.Spec.Adjacency = static_cast<adjacency>(Seed[2] % 5);
    return Submission;
  }

  job_placed jobPlacement(const record_seed &Seed) const {
    job_placed Placement;
    Placement.Job = pickJob(Seed[1], Ledger.waitingJobs());
    const job_entry *Job = Ledger.job(Placement.Job);
    if (Job == nullptr)
      return Placement;
    Placement.Attempt = Job->Attempt + 1;
    std::uint32_t Task = 0;
    for (const task_spec &TaskNeeds : Job->Spec.Tasks) {
      const std::int32_t Count = TaskNeeds.Need.Accelerators;
      const std::int32_t First = Seed[3] % (8 / Count) * Count;
      const accelerator_mask Mask = ((1U << Count) - 1U) << First;
      Placement.Assignments.push_back(
          {Task, worker_id(pickName("w", Seed[2] + Task, 6)), Mask,
           Seed[4] % 2 == 0});
      ++Task;
    }
    const auto Running = Ledger.runningAttempts();
    if (Seed[4] % 3 == 0 && !Running.empty())
      Placement.Victims.push_back(Running[Seed[2] % Running.size()]->Token);
    return Placement;
  }

  const ledger &Ledger;
  std::vector<record> Records;
};

} // namespace geraniumpaddle
