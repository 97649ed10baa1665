#pragma once

#include "core/base/types/ids.h"
#include "core/placement/cellcounts.h"
#include "core/placement/topology.h"
#include "core/placement/types/capacityimage.h"
#include "core/placement/types/placementtypes.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace geraniumpaddle {

/// Result of a check against a capacity account.
enum class capacity_check : std::uint8_t {
  Ok,
  GuaranteesDoNotPack,
  GuaranteeViolated,
  CapacityTaken,
  UnknownWorker,
  CustomerLimitExceeded,
  /// A task is assigned less than it needs, or accelerators that its worker
  /// does not have; or the job has no such task.
  NeedNotCovered,
};

/// Guaranteed cells of a customer that cannot be provided at present.
struct guarantee_shortfall {
  customer_id Customer;
  cell_level Level = cell_level::One;
  std::int32_t Missing = 0;

  friend bool operator==(const guarantee_shortfall &,
                         const guarantee_shortfall &) = default;
};

/// Request of one attempt to hold capacity.
struct capacity_claim {
  fencing_token Token{};
  customer_id Customer;
  std::span<const task_assignment> Assignments;
  std::span<const resources> Needs; ///< by task index
};

/// Tracks which attempts hold which capacity and keeps the guarantee invariant:
/// the unused guaranteed cells of all customers together always fit into
/// capacity that is free or only borrowed. Deterministic: the same calls in the
/// same order give equal accounts.
///
/// A guaranteed cell is bound to a physical cell while any part of it is used,
/// and unbound otherwise; a guaranteed task always runs in bound cells of its
/// own customer. Borrowed tasks may run anywhere and be preempted at any time,
/// so only bindings, guarantees and workers affect what can be reclaimed.
class capacity_account {
public:
  /// Identifies a physical cell.
  struct cell_key {
    cell_level Level = cell_level::One;
    topology_index Unit = 0; ///< index of the rack or worker
    std::uint32_t First = 0; ///< first accelerator; 0 for Worker and Rack

    friend auto operator<=>(const cell_key &, const cell_key &) = default;
  };
  /// Index of a customer, in order of first appearance.
  using customer_index = std::uint32_t;

  /// One task of an attempt with the capacity that it holds.
  struct held_task {
    std::uint32_t Task = 0;
    topology_index Worker = 0;
    accelerator_mask Accelerators = 0;
    bool Guaranteed = false;
    resources Need;

    friend bool operator==(const held_task &, const held_task &) = default;
  };
  /// All capacity that one attempt holds.
  struct held_attempt {
    customer_index Customer = 0;
    bool Borrowed = false;   ///< its accelerators are borrowed
    bool Guaranteed = false; ///< its accelerators are guaranteed
    std::vector<held_task> Tasks;

    /// Recomputes Borrowed and Guaranteed from the tasks.
    void updateFlags();

    friend bool operator==(const held_attempt &,
                           const held_attempt &) = default;
  };

  /// Adds a worker, or updates one that is registered. If its description
  /// changes, guaranteed tasks in the cells on the worker become borrowed.
  void registerWorker(const worker_info &Worker);
  /// Excludes the capacity of a worker, or includes it again. Attempts keep
  /// what they hold on the worker until they are released.
  capacity_check setUsable(const worker_id &Worker, bool Usable);

  /// Replaces the guarantees of all customers if no level falls short by more
  /// than before; otherwise leaves the account unchanged. If a customer has
  /// more cells bound than it is guaranteed now, the last of them are unbound
  /// and the tasks in them become borrowed.
  capacity_check setGuarantees(std::span<const customer_guarantees> All);

  /// Releases the attempts in \p Victims and allocates the capacity of \p Claim
  /// in one step; if a check fails, the account is unchanged. The accelerators
  /// of one attempt are all guaranteed or all borrowed, so that a preemptible
  /// accelerator never belongs to a gang that must not be preempted. Only the
  /// customer's own victims may hold guaranteed accelerators.
  capacity_check claim(const capacity_claim &Claim,
                       std::span<const fencing_token> Victims);
  /// Releases everything held under \p Token; unknown tokens are ignored.
  void release(fencing_token Token);

  /// Guaranteed cells that free and borrowed capacity cannot hold, e.g. after
  /// the loss of workers; empty while every guarantee can be provided. The
  /// missing cells of a level are assigned to customers in order of appearance.
  std::vector<guarantee_shortfall> shortfalls() const;

  const topology &workers() const { return *Topology; }
  bool usable(topology_index Worker) const {
    return Allocations[Worker].Usable;
  }
  /// Accelerators of a usable worker that no attempt holds.
  accelerator_mask freeMask(topology_index Worker) const;
  /// Accelerators of a usable worker that are free or only borrowed.
  accelerator_mask preemptibleMask(topology_index Worker) const;
  /// Accelerators of a worker that are bound to any customer.
  accelerator_mask boundMask(topology_index Worker) const {
    return Allocations[Worker].Bound;
  }
  /// Accelerators of a worker inside bound cells of \p Customer.
  accelerator_mask boundMask(topology_index Worker,
                             customer_index Customer) const;
  /// Unused cores and memory of a usable worker for tasks without accelerators.
  resources freeHost(topology_index Worker) const;
  /// Attempt that holds an accelerator; token 0 if none does.
  fencing_token holder(topology_index Worker, int Accelerator) const {
    return Allocations[Worker].Holder[Accelerator];
  }

  std::optional<customer_index> find(const customer_id &Customer) const;
  std::size_t customerCount() const { return Customers.size(); }
  const customer_guarantees &customer(customer_index Customer) const {
    return Customers[Customer].Config;
  }
  /// Accelerators the customer holds, guaranteed and borrowed.
  std::int32_t heldAccelerators(customer_index Customer) const {
    return Customers[Customer].HeldAccelerators;
  }
  /// Number of guaranteed cells of one level that are not bound.
  std::int32_t unbound(customer_index Customer, cell_level Level) const;
  /// Guaranteed cells per level, over all customers, that are not bound on a
  /// usable worker.
  const cell_counts &unboundTotal() const { return UnboundGuaranteed; }
  /// Guaranteed cells per level that free and borrowed capacity cannot hold.
  cell_counts shortfallByLevel() const {
    return Packing.shortfall(UnboundGuaranteed);
  }

  const std::map<fencing_token, held_attempt> &attempts() const {
    return Attempts;
  }
  const std::map<cell_key, customer_index> &boundCells() const {
    return Bindings;
  }

  /// Accelerators of \p Worker in the cell, which has to extend to that worker.
  accelerator_mask cellMask(const cell_key &Key, topology_index Worker) const;
  /// Workers that contain the cell.
  std::span<const topology_index> cellWorkers(const cell_key &Key) const;

  /// Full state as plain data, for snapshots.
  capacity_image image() const;
  /// Restores an account from \p Image. Throws invalid_argument_error if the
  /// image is inconsistent.
  static capacity_account fromImage(const capacity_image &Image);

  friend bool operator==(const capacity_account &Left,
                         const capacity_account &Right) {
    return *Left.Topology == *Right.Topology &&
           Left.Allocations == Right.Allocations &&
           Left.Customers == Right.Customers &&
           Left.Attempts == Right.Attempts && Left.Bindings == Right.Bindings &&
           Left.UnboundGuaranteed == Right.UnboundGuaranteed &&
           Left.Packing == Right.Packing;
  }

private:
  struct worker_allocation {
    bool Usable = true;
    accelerator_mask Bound = 0;
    accelerator_mask GuaranteedUse = 0;
    accelerator_mask Used = 0;
    resources HostUsed;
    std::array<fencing_token, MaxAcceleratorsPerWorker> Holder{};

    friend bool operator==(const worker_allocation &,
                           const worker_allocation &) = default;
  };
  struct customer_allocation {
    customer_guarantees Config;
    cell_counts Guaranteed{};
    cell_counts Bound{};
    cell_counts BoundUsable{}; ///< bound cells with a usable worker
    std::int32_t HeldAccelerators = 0;

    friend bool operator==(const customer_allocation &,
                           const customer_allocation &) = default;
  };

  struct undo_log;

  customer_index internCustomer(const customer_id &Customer);
  std::optional<cell_key> boundCellAt(topology_index Worker,
                                      int Accelerator) const;
  cell_key cellAt(cell_level Level, topology_index Worker,
                  int Accelerator) const;
  bool cellUnbound(const cell_key &Key) const;
  bool cellUsable(const cell_key &Key) const;
  bool cellInUse(const cell_key &Key) const;

  /// Binds an unbound physical cell to \p Customer.
  void bind(const cell_key &Key, customer_index Customer);
  void unbind(const cell_key &Key);
  /// Unbinds the cells around \p Mask that no guaranteed task uses any more.
  void unbindIfUnused(topology_index Worker, accelerator_mask Mask,
                      undo_log &UndoLog);
  /// Binds the smallest guaranteed cell of \p Customer that holds \p Buddy, or
  /// one for each half of it.
  bool bindBuddy(customer_index Customer, topology_index Worker,
                 accelerator_mask Buddy);
  /// Binds cells for all accelerators of \p Task that are not bound yet.
  bool bindTask(customer_index Customer, const held_task &Task);
  /// Makes the attempts with guaranteed tasks in the cell borrowed and unbinds
  /// the cell.
  void demoteCell(const cell_key &Key);
  bool overlapsCell(const held_task &Task, const cell_key &Key) const;
  /// Demotes the cells that exceed their customer's guarantee, the last first.
  void unbindExcessCells();

  void adjustBoundCounts(const cell_key &Key, customer_index Customer,
                         std::int32_t Sign);
  void setGuaranteed(customer_index Customer, const cell_counts &Guaranteed);
  /// Topology for modification; copied first if other accounts share it.
  topology &mutableTopology();
  void updatePackingCounts(topology_index Rack);
  std::vector<cell_key> boundCellsOn(topology_index Worker) const;

  /// Changes of a claim so far, to be undone if a later check fails.
  struct undo_log {
    std::vector<held_task> AllocatedTasks;
    std::vector<std::pair<fencing_token, held_attempt>> ReleasedAttempts;
    std::vector<std::pair<cell_key, customer_index>> UnboundCells;
  };

  capacity_check tryClaim(const capacity_claim &Claim,
                          std::span<const fencing_token> Victims,
                          customer_index Customer, undo_log &UndoLog);
  void rollBack(const undo_log &UndoLog, customer_index Customer);
  /// Looks up the workers of \p Claim and checks that each task gets what it
  /// needs.
  capacity_check resolve(const capacity_claim &Claim,
                         held_attempt &Attempt) const;
  capacity_check resolveTask(const task_assignment &Assignment,
                             std::span<const resources> Needs,
                             held_attempt &Attempt) const;
  /// Rejects borrowing at levels at which guarantees already fall short.
  capacity_check checkBorrowed(const held_attempt &Attempt) const;
  capacity_check releaseVictims(customer_index Customer,
                                std::span<const fencing_token> Victims,
                                undo_log &UndoLog);
  void releaseWithUndo(fencing_token Token, undo_log &UndoLog);
  /// Checks the customer's limit, and that no level falls short by more than
  /// \p Before.
  capacity_check checkLimitAndGuarantees(customer_index Customer,
                                         const cell_counts &Before) const;
  capacity_check allocateTask(fencing_token Token, customer_index Customer,
                              const held_task &Task, undo_log &UndoLog);
  void markAllocated(fencing_token Token, customer_index Customer,
                     const held_task &Task);
  void markFree(customer_index Customer, const held_task &Task);

  static cell_counts countsOf(const customer_guarantees &Config);
  void restoreCustomer(const customer_guarantees &Config);
  void restoreCell(const bound_cell &Cell);
  void restoreAttempt(const attempt_image &Attempt);

  /// Copy-on-write: shared between copies of the account until it is changed.
  std::shared_ptr<topology> Topology = std::make_shared<topology>();
  std::vector<worker_allocation> Allocations;
  std::vector<customer_allocation> Customers;
  std::map<customer_id, customer_index> CustomerIndex;
  std::map<fencing_token, held_attempt> Attempts;
  std::map<cell_key, customer_index> Bindings;
  cell_counts UnboundGuaranteed{}; ///< see unboundTotal()
  packing_counts Packing;
};

} // namespace geraniumpaddle
