#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace geraniumpaddle {

/// Fraction of a limit that is split evenly regardless of demand, so that an
/// entry without demand can admit the first requests that reach it.
constexpr double EvenFraction = 0.25;

/// Splits a rate by demand and returns the share of one entry. The shares of
/// all entries add up to \p Limit.
/// \param Demand one value per live entry, none negative.
/// \param Index position in \p Demand of the entry.
double rateShare(double Limit, std::span<const double> Demand,
                 std::size_t Index);

/// Splits a count by demand with the largest remainder method; ties go to the
/// lower index. The shares add up to \p Limit exactly on all entries that see
/// the same demand in the same order.
std::vector<std::uint32_t> countShares(std::uint32_t Limit,
                                       std::span<const double> Demand);

} // namespace geraniumpaddle
