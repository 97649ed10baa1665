#pragma once

#include "core/base/types/ids.h"
#include "core/placement/types/shapes.h"

#include <span>
#include <vector>

namespace geraniumpaddle {

/// Result of a capacity check.
enum class capacity_check : std::uint8_t {
  Ok,
  GuaranteesDoNotPack,
  GuaranteeViolated,
  CapacityTaken,
  UnknownWorker,
  OverOwnLimit,
};

/// A guaranteed shape that cannot be reclaimed at present.
struct guarantee_shortfall {
  customer_id Customer;
  cell_level Level = cell_level::One;
  std::int32_t Missing = 0;
};

/// Guarantees of one customer, as configured.
struct customer_guarantees {
  customer_id Customer;
  std::vector<guarantee> Guarantees;
  std::int32_t MaxAccelerators = 0; ///< 0: unlimited
};

/// One attempt that wants to hold capacity.
struct capacity_claim {
  fencing_token Token{};
  customer_id Customer;
  std::span<const task_assignment> Assignments;
  std::span<const resources> Needs; ///< by task index
};

/// Counts cells by level and keeps the guarantee invariant: at all times the
/// unused guaranteed cells of all customers together fit into capacity that is
/// free or only borrowed. Deterministic: equal calls in equal order give equal
/// accounts.
///
/// A guaranteed cell is unbound, or bound to a physical cell while any part of
/// it is used; a customer's guaranteed task always lies in a bound cell of its
/// own. Borrowed tasks lie anywhere and may be preempted at any time, so only
/// bindings, guarantees and workers can change what is reclaimable.
class capacity_account {
public:
  /// Adds a worker, or updates one that is registered.
  void registerWorker(const worker_info &Worker);
  /// Takes a worker out of the count, or back into it. Attempts that hold it
  /// keep their claims until released.
  capacity_check setUsable(const worker_id &Worker, bool Usable);

  /// Replaces all customers' guarantees if they pack together with what is
  /// bound; otherwise leaves the account unchanged.
  capacity_check setGuarantees(std::span<const customer_guarantees> All);

  /// Checks \p Claim as if the attempts in \p Victims were released, then, if
  /// it passes, releases them and claims.
  capacity_check claim(const capacity_claim &Claim,
                       std::span<const fencing_token> Victims);
  /// Releases everything held under \p Token; unknown tokens are ignored.
  void release(fencing_token Token);

  /// Guaranteed cells that no free or borrowed capacity can hold, e.g. after
  /// the loss of workers. Empty while every guarantee is whole.
  std::vector<guarantee_shortfall> shortfalls() const;
};

} // namespace geraniumpaddle
