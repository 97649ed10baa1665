#pragma once

#include "core/placement/capacityaccount.h"

namespace geraniumpaddle {

/// Exhaustive check, independent of the account's own counting: true if every
/// guaranteed cell of every customer, less what \p Short reports, can be laid
/// on usable workers without overlap, such that each guaranteed task on a
/// usable worker lies in cells of its own customer.
bool reclaimable(const capacity_image &Image,
                 std::span<const guarantee_shortfall> Short);

} // namespace geraniumpaddle
