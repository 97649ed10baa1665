#include "core/ledger/ledger.h"

#include <algorithm>
#include <array>
#include <set>

namespace geraniumpaddle {

namespace {

/// Accelerators that the guarantees need. Guaranteed workers and racks are not
/// counted, since their number of accelerators varies.
std::int64_t acceleratorsOf(std::span<const guarantee> Guarantees) {
  static constexpr std::array<std::int64_t, CellLevels> Sizes{1, 2, 4, 8, 0, 0};
  std::int64_t Sum = 0;
  for (const guarantee &Guarantee : Guarantees)
    Sum += Sizes[static_cast<std::size_t>(Guarantee.Level)] * Guarantee.Count;
  return Sum;
}

bool validGuarantees(std::span<const guarantee> Guarantees) {
  std::array<bool, CellLevels> Seen{};
  for (const guarantee &Guarantee : Guarantees) {
    bool &Level = Seen[static_cast<std::size_t>(Guarantee.Level)];
    if (Level || Guarantee.Count < 0)
      return false;
    Level = true;
  }
  return true;
}

bool validLimits(const request_limits &Limits) {
  return Limits.RatePerSecond >= 0 && Limits.Burst >= 0 && Limits.InFlight >= 0;
}

bool validConfig(const customer_config &Config) {
  if (Config.Id.empty() || Config.MaxAccelerators < 0)
    return false;
  if (!validLimits(Config.Limits) || !validGuarantees(Config.Guarantees))
    return false;
  return Config.MaxAccelerators == 0 ||
         acceleratorsOf(Config.Guarantees) <= Config.MaxAccelerators;
}

/// True if every customer is named once and every configuration is valid.
bool validChange(const customers_changed &Change) {
  std::set<std::string_view> Named;
  for (const customer_config &Config : Change.Put)
    if (!validConfig(Config) || !Named.insert(Config.Id.view()).second)
      return false;
  for (const customer_id &Id : Change.Removed)
    if (!Named.insert(Id.view()).second)
      return false;
  // A sheet without changes is valid too: it becomes the latest sheet and
  // clears the removals by command.
  return !Named.empty() || Change.Source == change_source::Sheet;
}

template <typename Entries>
auto position(Entries &Customers, const customer_id &Id) {
  return std::lower_bound(Customers.begin(), Customers.end(), Id,
                          [](const customer_entry &A, const customer_id &B) {
                            return A.Config.Id < B;
                          });
}

std::vector<customer_guarantees>
guaranteesOf(std::span<const customer_entry> Customers) {
  std::vector<customer_guarantees> All;
  All.reserve(Customers.size());
  for (const customer_entry &Customer : Customers) {
    const customer_config &Config = Customer.Config;
    All.push_back({Config.Id, Config.Guarantees, Config.MaxAccelerators});
  }
  return All;
}

bool sameGuarantees(std::span<const customer_entry> A,
                    std::span<const customer_entry> B) {
  return std::equal(A.begin(), A.end(), B.begin(), B.end(),
                    [](const customer_entry &X, const customer_entry &Y) {
                      return X.Config.Id == Y.Config.Id &&
                             X.Config.Guarantees == Y.Config.Guarantees &&
                             X.Config.MaxAccelerators ==
                                 Y.Config.MaxAccelerators;
                    });
}

} // namespace

const customer_entry *ledger::customer(const customer_id &Id) const {
  auto Found = position(Customers, Id);
  if (Found == Customers.end() || Found->Config.Id != Id)
    return nullptr;
  return &*Found;
}

verdict ledger::checkChange(const customers_changed &Change) const {
  if (!validChange(Change))
    return {rejection::InvalidRecord};
  if (Change.Base != Version)
    return {rejection::VersionConflict, VersionOffset};
  for (const customer_id &Id : Change.Removed)
    if (customer(Id) == nullptr)
      return {rejection::UnknownCustomer};
  return {};
}

std::vector<customer_entry>
ledger::changedCustomers(const customers_changed &Change,
                         const context &Context) const {
  std::vector<customer_entry> Changed = Customers;
  const record &Record = Context.Record;
  const change_origin Origin{Context.Offset, Record.At, Record.Actor,
                             Change.Source};
  for (const customer_config &Config : Change.Put) {
    auto Position = position(Changed, Config.Id);
    if (Position == Changed.end() || Position->Config.Id != Config.Id)
      Position = Changed.insert(Position, customer_entry{});
    *Position = {Config, Origin};
  }
  for (const customer_id &Id : Change.Removed)
    Changed.erase(position(Changed, Id));
  return Changed;
}

verdict ledger::onCustomersChanged(const customers_changed &Change,
                                   const context &Context) {
  if (verdict Check = checkChange(Change); !Check.accepted())
    return Check;
  std::vector<customer_entry> Changed = changedCustomers(Change, Context);
  // Limits can be changed even while guarantees fall short for lost workers.
  if (!sameGuarantees(Customers, Changed) &&
      Account.setGuarantees(guaranteesOf(Changed)) != capacity_check::Ok)
    return {rejection::GuaranteesDoNotPack};
  Customers = std::move(Changed);
  Version = config_version{raw(Version) + 1};
  VersionOffset = Context.Offset;
  updateRemovedByCommand(Change, Context);
  cancelJobsOfRemovedCustomers(Change.Removed, Context);
  return {};
}

void ledger::updateRemovedByCommand(const customers_changed &Change,
                                    const context &Context) {
  if (Change.Source == change_source::Sheet) {
    LastSheet = Context.Offset;
    RemovedByCommand.clear();
    return;
  }
  std::erase_if(RemovedByCommand, [this](const removed_customer &Removed) {
    return customer(Removed.Id) != nullptr;
  });
  const record &Record = Context.Record;
  for (const customer_id &Id : Change.Removed)
    RemovedByCommand.push_back(
        {Id, {Context.Offset, Record.At, Record.Actor, Change.Source}});
  if (RemovedByCommand.size() > MaxRemovedCustomers)
    RemovedByCommand.erase(RemovedByCommand.begin(),
                           RemovedByCommand.end() - MaxRemovedCustomers);
}

void ledger::cancelJobsOfRemovedCustomers(std::span<const customer_id> Removed,
                                          const context &Context) {
  if (Removed.empty())
    return;
  auto WithoutCustomer = [this](std::span<const job_entry *const> Candidates) {
    std::vector<const job_entry *> Found;
    for (const job_entry *Job : Candidates)
      if (customer(Job->Spec.Customer) == nullptr)
        Found.push_back(Job);
    return Found;
  };
  const wall_time At = Context.Record.At;
  for (const job_entry *Job : WithoutCustomer(Jobs.waiting()))
    Jobs.end(Job->Spec.Id, job_outcome::Cancelled, Context.Offset, At,
             "customer removed");
  for (const job_entry *Job : WithoutCustomer(Jobs.holding()))
    if (Job->State != job_state::Cancelling)
      Jobs.requestCancel(Job->Spec.Id, Context.Offset, At, "customer removed");
}

} // namespace geraniumpaddle
