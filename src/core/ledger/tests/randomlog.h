#pragma once

#include "core/ledger/tests/recordbuilder.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace geraniumpaddle {

/// Numbers from which one record is made.
using record_seed = std::array<std::uint8_t, 5>;

/// Makes records over few names, so that they collide: most fit the state of
/// the ledger that they are made against, some are stale, repeated or wrong.
class random_log {
public:
  explicit random_log(const ledger &Ledger) : Ledger(Ledger) {}

  record make(const record_seed &Seed) {
    constexpr std::uint8_t RepeatOneIn = 16;
    if (Made.size() >= Basics && Seed[4] % RepeatOneIn == 0)
      return Made[Seed[1] % Made.size()];
    record Record;
    Record.Producer.Node = node_id("e" + std::to_string(Seed[4] % 3));
    Record.Producer.Incarnation = incarnation{1U + Made.size() / 100};
    Record.Producer.Sequence = Made.size() + 1;
    Record.Actor = actor_id("ada");
    Record.At = TestWall + std::chrono::milliseconds(Made.size());
    Record.Body = Made.size() < Basics ? basics(Made.size()) : body(Seed);
    Made.push_back(Record);
    return Record;
  }

private:
  static constexpr std::size_t Basics = 7;

  static std::string pick(const char *Prefix, std::size_t Number,
                          std::size_t Count) {
    return Prefix + std::to_string(Number % Count);
  }
  /// Mostly one of \p Jobs, sometimes any job.
  job_id jobOf(std::uint8_t Number,
               std::span<const job_entry *const> Jobs) const {
    if (Jobs.empty() || Number % 8 == 0)
      return job_id(pick("j", Number, 40));
    return Jobs[Number % Jobs.size()]->Spec.Id;
  }
  job_id runningJob(const record_seed &Seed) const {
    return jobOf(Seed[1], Ledger.runningAttempts());
  }
  fencing_token tokenOf(const job_id &Id, const record_seed &Seed) const {
    const job_entry *Job = Ledger.job(Id);
    return Job == nullptr || Seed[3] % 8 == 0 ? fencing_token{Seed[3]}
                                              : Job->Token;
  }

  /// The first records: workers and customers, so that jobs can be placed.
  static record_body basics(std::size_t Index) {
    constexpr std::size_t Workers = 4;
    if (Index < Workers)
      return workerRun(pick("w", Index, 6), 1, pick("r", Index, 2));
    Index -= Workers;
    return putCustomer(
        Index, customerConfig(pick("c", Index, 4), {{cell_level(Index), 1}}));
  }

  record_body body(const record_seed &Seed) const {
    switch (Seed[0] % 16) {
    case 0:
    case 1:
      return customers(Seed);
    case 2:
      return workerRun(pick("w", Seed[1], 6), 1 + Seed[2] % 3,
                       pick("r", Seed[1], 2));
    case 3:
      return workerState(pick("w", Seed[1], 6),
                         static_cast<worker_state>(Seed[2] % 4),
                         static_cast<state_cause>(Seed[3] % 6), 1);
    case 4:
    case 5:
    case 6:
      return job(Seed);
    case 7:
    case 8:
    case 9:
    case 10:
      return place(Seed);
    case 11:
    case 12: {
      const job_id Job = runningJob(Seed);
      return job_started{Job, tokenOf(Job, Seed)};
    }
    case 13:
    case 14: {
      const job_id Job = runningJob(Seed);
      return ending(Job.view(), tokenOf(Job, Seed),
                    static_cast<job_outcome>(Seed[2] % 7),
                    pick("w", Seed[3], 6));
    }
    default:
      return job_cancelled{runningJob(Seed)};
    }
  }

  customers_changed customers(const record_seed &Seed) const {
    const std::uint64_t Base = raw(Ledger.version()) - (Seed[1] % 8 == 0);
    if (Seed[2] % 8 == 0)
      return removeCustomer(Base, pick("c", Seed[3], 4));
    customers_changed Change = putCustomer(
        Base, customerConfig(pick("c", Seed[3], 4),
                             {{cell_level(Seed[2] % 5), Seed[1] % 3}}));
    Change.Source = static_cast<change_source>(Seed[4] % 2);
    return Change;
  }

  static job_submitted job(const record_seed &Seed) {
    job_submitted Submission =
        submission(pick("j", Seed[1], 40), 1 + Seed[2] % 3, 1 << (Seed[3] % 4),
                   pick("c", Seed[4], 4));
    Submission.Spec.Idempotent = Seed[3] % 8 < 4;
    Submission.Spec.Adjacency = static_cast<adjacency>(Seed[2] % 5);
    return Submission;
  }

  job_placed place(const record_seed &Seed) const {
    job_placed Placement;
    Placement.Job = jobOf(Seed[1], Ledger.waitingJobs());
    const job_entry *Job = Ledger.job(Placement.Job);
    if (Job == nullptr)
      return Placement;
    Placement.Attempt = Job->Attempt + 1;
    std::uint32_t Task = 0;
    for (const task_shape &Shape : Job->Spec.Tasks) {
      const std::int32_t Count = Shape.Need.Accelerators;
      const std::int32_t First = Seed[3] % (8 / Count) * Count;
      const accelerator_mask Mask = ((1U << Count) - 1U) << First;
      Placement.Assignments.push_back({Task,
                                       worker_id(pick("w", Seed[2] + Task, 6)),
                                       Mask, Seed[4] % 2 == 0});
      ++Task;
    }
    const auto Running = Ledger.runningAttempts();
    if (Seed[4] % 3 == 0 && !Running.empty())
      Placement.Victims.push_back(Running[Seed[2] % Running.size()]->Token);
    return Placement;
  }

  const ledger &Ledger;
  std::vector<record> Made;
};

} // namespace geraniumpaddle
