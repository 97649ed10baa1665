#pragma once

#include "core/base/types/ids.h"
#include "core/placement/cellcounts.h"
#include "core/placement/topology.h"
#include "core/placement/types/capacityimage.h"
#include "core/placement/types/shapes.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <utility>
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
  NeedNotCovered, ///< a task gets less than it needs, or overlaps another
};

/// A guaranteed shape that cannot be reclaimed at present.
struct guarantee_shortfall {
  customer_id Customer;
  cell_level Level = cell_level::One;
  std::int32_t Missing = 0;

  friend bool operator==(const guarantee_shortfall &,
                         const guarantee_shortfall &) = default;
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
  /// Physical cell: level, then rack or worker, then first accelerator.
  struct cell_key {
    cell_level Level = cell_level::One;
    topology_index Unit = 0;
    std::uint32_t First = 0;

    friend auto operator<=>(const cell_key &, const cell_key &) = default;
  };
  /// Position of a customer, in order of first appearance.
  using customer_index = std::uint32_t;

  /// One task of an attempt with its place and its need.
  struct held_task {
    std::uint32_t Task = 0;
    topology_index Worker = 0;
    accelerator_mask Accelerators = 0;
    bool Guaranteed = false;
    resources Need;

    friend bool operator==(const held_task &, const held_task &) = default;
  };
  /// Everything one attempt holds.
  struct held_attempt {
    customer_index Customer = 0;
    bool Borrowed = false;   ///< its accelerators are borrowed
    bool Guaranteed = false; ///< its accelerators are guaranteed
    std::vector<held_task> Tasks;

    /// Derives the two flags from the tasks.
    void countFlags();

    friend bool operator==(const held_attempt &,
                           const held_attempt &) = default;
  };

  /// Adds a worker, or updates one that is registered. Guaranteed tasks on a
  /// worker whose rack or accelerators change become borrowed.
  void registerWorker(const worker_info &Worker);
  /// Takes a worker out of the count, or back into it. Attempts that hold it
  /// keep their claims until released.
  capacity_check setUsable(const worker_id &Worker, bool Usable);

  /// Replaces all customers' guarantees if they pack together with what is
  /// bound; otherwise leaves the account unchanged. Where a customer has more
  /// cells bound than are guaranteed now, the last of them are given up and
  /// the tasks inside become borrowed.
  capacity_check setGuarantees(std::span<const customer_guarantees> All);

  /// Checks \p Claim as if the attempts in \p Victims were released, then, if
  /// it passes, releases them and claims. Otherwise the account is unchanged.
  /// The accelerators of one attempt are all guaranteed or all borrowed, so
  /// that a preemptible accelerator never belongs to a protected gang. Victims
  /// must hold nothing guaranteed, unless they are the customer's own.
  capacity_check claim(const capacity_claim &Claim,
                       std::span<const fencing_token> Victims);
  /// Releases everything held under \p Token; unknown tokens are ignored.
  void release(fencing_token Token);

  /// Guaranteed cells that no free or borrowed capacity can hold, e.g. after
  /// the loss of workers. Empty while every guarantee is whole. A level that
  /// is short is charged to customers in order of appearance.
  std::vector<guarantee_shortfall> shortfalls() const;

  const topology &workers() const { return *Topology; }
  bool usable(topology_index Worker) const { return Slots[Worker].Usable; }
  /// Accelerators of a usable worker that no attempt holds.
  accelerator_mask freeMask(topology_index Worker) const;
  /// Accelerators of a usable worker that are free or only borrowed.
  accelerator_mask preemptibleMask(topology_index Worker) const;
  /// Accelerators of a worker that are bound to any customer.
  accelerator_mask boundMask(topology_index Worker) const {
    return Slots[Worker].Bound;
  }
  /// Accelerators of a worker inside bound cells of \p Customer.
  accelerator_mask boundMask(topology_index Worker,
                             customer_index Customer) const;
  /// Cores and memory of a usable worker left for tasks without accelerators.
  resources freeHost(topology_index Worker) const;
  /// Attempt that holds an accelerator; token 0 if it is free.
  fencing_token holder(topology_index Worker, int Accelerator) const {
    return Slots[Worker].Holder[Accelerator];
  }

  std::optional<customer_index> find(const customer_id &Customer) const;
  std::size_t customerCount() const { return Customers.size(); }
  const customer_guarantees &customer(customer_index Customer) const {
    return Customers[Customer].Config;
  }
  /// Accelerators the customer holds, guaranteed and borrowed.
  std::int32_t held(customer_index Customer) const {
    return Customers[Customer].Held;
  }
  /// Guaranteed cells of one level that are not bound.
  std::int32_t unbound(customer_index Customer, cell_level Level) const;
  /// Guaranteed cells per level that still need capacity, over all customers.
  const cell_counts &unboundTotal() const { return Needed; }
  /// Cells per level that the guarantees lack.
  cell_counts shortByLevel() const { return Packing.shortfall(Needed); }

  const std::map<fencing_token, held_attempt> &attempts() const {
    return Attempts;
  }
  const std::map<cell_key, customer_index> &boundCells() const {
    return Bindings;
  }

  /// Accelerators of \p Worker inside the cell; the worker is one of its own.
  accelerator_mask cellMask(const cell_key &Key, topology_index Worker) const;
  /// Workers that the cell lies on.
  std::span<const topology_index> cellWorkers(const cell_key &Key) const;

  /// Full state as plain data.
  capacity_image image() const;
  /// Account with the state of \p Image. Throws invalid_argument_error if the
  /// image contradicts itself.
  static capacity_account fromImage(const capacity_image &Image);

  friend bool operator==(const capacity_account &Left,
                         const capacity_account &Right) {
    return *Left.Topology == *Right.Topology && Left.Slots == Right.Slots &&
           Left.Customers == Right.Customers &&
           Left.Attempts == Right.Attempts && Left.Bindings == Right.Bindings &&
           Left.Needed == Right.Needed && Left.Packing == Right.Packing;
  }

private:
  struct worker_slot {
    bool Usable = true;
    accelerator_mask Bound = 0;
    accelerator_mask GuaranteedUse = 0;
    accelerator_mask Used = 0;
    resources HostUsed;
    std::array<fencing_token, MaxAcceleratorsPerWorker> Holder{};

    friend bool operator==(const worker_slot &, const worker_slot &) = default;
  };
  struct customer_slot {
    customer_guarantees Config;
    cell_counts Guaranteed{};
    cell_counts Bound{};
    cell_counts BoundUsable{}; ///< of these, cells with a usable worker
    std::int32_t Held = 0;

    friend bool operator==(const customer_slot &,
                           const customer_slot &) = default;
  };

  struct undo_log;

  customer_index internCustomer(const customer_id &Customer);
  std::optional<cell_key> bindingAt(topology_index Worker,
                                    int Accelerator) const;
  cell_key cellAt(cell_level Level, topology_index Worker,
                  int Accelerator) const;
  bool cellUnbound(const cell_key &Key) const;
  bool cellUsable(const cell_key &Key) const;
  bool cellInUse(const cell_key &Key) const;

  void bind(const cell_key &Key, customer_index Customer);
  void unbind(const cell_key &Key);
  void unbindIfUnused(topology_index Worker, accelerator_mask Mask,
                      undo_log &Undo);
  bool bindFor(customer_index Customer, topology_index Worker,
               accelerator_mask Buddy);
  bool bindAll(customer_index Customer, const held_task &Task);
  void demote(const cell_key &Key);
  bool liesIn(const held_task &Task, const cell_key &Key) const;
  void giveUpExcess();

  void countBound(const cell_key &Key, customer_index Customer,
                  std::int32_t Sign);
  void setGuaranteed(customer_index Customer, const cell_counts &Guaranteed);
  /// The topology for a change, copied first if it is shared.
  topology &mutableTopology();
  void refreshRack(topology_index Rack);
  std::vector<cell_key> cellsOn(topology_index Worker) const;

  /// What a claim changed so far, to take it back if it fails.
  struct undo_log {
    std::vector<held_task> Held;
    std::vector<std::pair<fencing_token, held_attempt>> Released;
    std::vector<std::pair<cell_key, customer_index>> Unbound;
  };

  capacity_check tryClaim(const capacity_claim &Claim,
                          std::span<const fencing_token> Victims,
                          customer_index Customer, undo_log &Undo);
  void rollBack(const undo_log &Undo, customer_index Customer);
  capacity_check resolve(const capacity_claim &Claim,
                         held_attempt &Attempt) const;
  capacity_check resolveTask(const task_assignment &Assignment,
                             std::span<const resources> Needs,
                             held_attempt &Attempt) const;
  capacity_check checkLent(const held_attempt &Attempt) const;
  capacity_check releaseVictims(customer_index Customer,
                                std::span<const fencing_token> Victims,
                                undo_log &Undo);
  void releaseLogged(fencing_token Token, undo_log &Undo);
  capacity_check checkWhole(customer_index Customer,
                            const cell_counts &Before) const;
  capacity_check hold(fencing_token Token, customer_index Customer,
                      const held_task &Task, undo_log &Undo);
  void occupy(fencing_token Token, customer_index Customer,
              const held_task &Task);
  void drop(customer_index Customer, const held_task &Task);

  static cell_counts countsOf(const customer_guarantees &Config);
  void restoreCustomer(const customer_guarantees &Config);
  void restoreCell(const bound_cell &Cell);
  void restoreAttempt(const attempt_image &Attempt);

  /// Shared between copies of the account; replaced before it is changed.
  std::shared_ptr<topology> Topology = std::make_shared<topology>();
  std::vector<worker_slot> Slots;
  std::vector<customer_slot> Customers;
  std::map<customer_id, customer_index> CustomerIndex;
  std::map<fencing_token, held_attempt> Attempts;
  std::map<cell_key, customer_index> Bindings;
  cell_counts Needed{};
  packing_counts Packing;
};

} // namespace geraniumpaddle
