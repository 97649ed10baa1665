#include "core/routing/limitshares.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace geraniumpaddle {

double rateShare(double Limit, std::span<const double> Demand,
                 std::size_t Index) {
  const double Entries = static_cast<double>(Demand.size());
  const double Total = std::accumulate(Demand.begin(), Demand.end(), 0.0);
  if (Total <= 0)
    return Limit / Entries;
  const double Even = EvenFraction / Entries;
  const double ByDemand = (1 - EvenFraction) * Demand[Index] / Total;
  return Limit * (Even + ByDemand);
}

std::vector<std::uint32_t> countShares(std::uint32_t Limit,
                                       std::span<const double> Demand) {
  std::vector<std::uint32_t> Shares(Demand.size());
  std::vector<double> Remainders(Demand.size());
  std::uint32_t Left = Limit;
  for (std::size_t I = 0; I < Demand.size(); ++I) {
    const double Quota = rateShare(Limit, Demand, I);
    Shares[I] = std::min(Left, static_cast<std::uint32_t>(Quota));
    Remainders[I] = Quota - std::floor(Quota);
    Left -= Shares[I];
  }
  std::vector<std::size_t> Order(Demand.size());
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  std::ranges::stable_sort(Order, [&](std::size_t A, std::size_t B) {
    return Remainders[A] > Remainders[B];
  });
  for (std::size_t I = 0; Left > 0; I = (I + 1) % Order.size(), --Left)
    ++Shares[Order[I]];
  return Shares;
}

} // namespace geraniumpaddle
