#pragma once

#include "core/placement/capacityaccount.h"

namespace geraniumpaddle {

/// Exhaustive check that does not use the counts of the account: true if all
/// guaranteed cells of all customers, except those in \p Shortfalls, can be
/// placed on usable workers without overlap, such that each guaranteed task on
/// a usable worker is within cells of its own customer.
bool reclaimable(const capacity_image &Image,
                 std::span<const guarantee_shortfall> Shortfalls);

} // namespace geraniumpaddle
