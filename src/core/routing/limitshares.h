#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace geraniumpaddle {

/// Part of a limit that is split evenly, whatever the demand, so that an entry
/// without demand can serve the first requests that reach it.
constexpr double EvenPart = 0.25;

/// Splits a rate by demand. The shares add up to \p Limit.
/// \param Demand one value per live entry, none negative.
/// \param Index whose share to return.
double rateShare(double Limit, std::span<const double> Demand,
                 std::size_t Index);

/// Splits a count by demand: quotas rounded down, the rest by largest
/// remainder and then by index. The shares add up to \p Limit exactly on all
/// entries that see the same demand in the same order.
std::vector<std::uint32_t> countShares(std::uint32_t Limit,
                                       std::span<const double> Demand);

} // namespace geraniumpaddle
