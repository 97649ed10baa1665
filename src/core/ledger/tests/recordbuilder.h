#pragma once

#include "core/ledger/ledger.h"

#include <string_view>
#include <utility>

namespace geraniumpaddle {

constexpr wall_time TestTime{std::chrono::milliseconds(1'700'000'000'000)};

/// A ledger, and one producer whose records have consecutive sequences.
class ledger_fixture {
public:
  ledger Ledger;

  /// Applies \p Body as the next record.
  verdict apply(record_body Body) {
    return Ledger.apply(next(Ledger.lastApplied()), make(std::move(Body)));
  }

  record make(record_body Body) {
    return {{node_id("entry-1"), incarnation{1}, ++Sequence},
            actor_id("ada"),
            TestTime,
            std::move(Body)};
  }

  log_offset lastApplied() const { return Ledger.lastApplied(); }

private:
  std::uint64_t Sequence = 0;
};

inline customer_config customerConfig(std::string_view Id,
                                      std::vector<guarantee> Guarantees = {},
                                      std::int32_t MaxAccelerators = 0) {
  customer_config Config;
  Config.Id = customer_id(Id);
  Config.DisplayName = Id;
  Config.Guarantees = std::move(Guarantees);
  Config.MaxAccelerators = MaxAccelerators;
  return Config;
}

inline customers_changed putCustomer(std::uint64_t Base,
                                     customer_config Config) {
  customers_changed Change;
  Change.Base = config_version{Base};
  Change.Put.push_back(std::move(Config));
  return Change;
}

inline customers_changed removeCustomer(std::uint64_t Base,
                                        std::string_view Id) {
  customers_changed Change;
  Change.Base = config_version{Base};
  Change.Removed.emplace_back(Id);
  return Change;
}

inline worker_registered
workerRegistration(std::string_view Id, std::uint64_t Incarnation = 1,
                   std::string_view Rack = "r1",
                   std::string_view Zone = "perth-east") {
  worker_registered Registration;
  Registration.Worker = {worker_id(Id), region_id("perth-metro"),
                         availability_zone_id(Zone), rack_id(Rack),
                         resources{8, 128'000, 256'000}};
  Registration.Agent = node_id("agent-" + std::string(Id));
  Registration.AgentIncarnation = incarnation{Incarnation};
  Registration.PeerAddress = "10.0.0.1:7001";
  Registration.Service = service_id("bookdesk");
  Registration.Slots = 8;
  return Registration;
}

inline worker_state_changed workerState(std::string_view Id, worker_state State,
                                        state_cause Cause,
                                        std::uint64_t Incarnation = 1) {
  return {worker_id(Id), incarnation{Incarnation}, State, Cause};
}

inline job_submitted submission(std::string_view Id, int Tasks = 1,
                                std::int32_t Accelerators = 4,
                                std::string_view Customer = "c1") {
  job_spec Spec;
  Spec.Id = job_id(Id);
  Spec.Customer = customer_id(Customer);
  Spec.Tasks.assign(Tasks, {resources{Accelerators, 1000, 1000}});
  return {Spec};
}

/// Places the tasks in order, each at its (worker, accelerator mask).
inline job_placed placement(
    std::string_view Job, std::uint32_t Attempt,
    const std::vector<std::pair<std::string_view, accelerator_mask>> &Locations,
    std::vector<fencing_token> Victims = {}, bool Guaranteed = false) {
  job_placed Placement;
  Placement.Job = job_id(Job);
  Placement.Attempt = Attempt;
  std::uint32_t Task = 0;
  for (auto [Worker, Mask] : Locations)
    Placement.Assignments.push_back(
        {Task++, worker_id(Worker), Mask, Guaranteed});
  Placement.Victims = std::move(Victims);
  return Placement;
}

inline job_ended jobEnd(std::string_view Job, fencing_token Token,
                        job_outcome Outcome, std::string_view Blamed = {}) {
  return {job_id(Job), Token, Outcome, worker_id(Blamed), {}};
}

} // namespace geraniumpaddle
