#pragma once

#include "core/base/types/ids.h"
#include "core/ledger/types/record.h"

#include <span>
#include <utility>
#include <vector>

namespace geraniumpaddle {

/// The customer configuration that is in force in this process. Its version
/// never decreases, even if entries send older versions later.
class customers_in_force {
public:
  /// Replaces the configuration if \p NewVersion is newer than the current one.
  /// \returns whether it was.
  bool update(config_version NewVersion,
              std::vector<customer_config> NewCustomers) {
    if (NewVersion <= Version)
      return false;
    Version = NewVersion;
    Customers = std::move(NewCustomers);
    return true;
  }

  config_version version() const { return Version; }
  std::span<const customer_config> customers() const { return Customers; }

private:
  config_version Version{};
  std::vector<customer_config> Customers;
};

} // namespace geraniumpaddle
