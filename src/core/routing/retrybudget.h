#pragma once

#include <algorithm>

namespace geraniumpaddle {

/// Bounds retries and hedges together to a share of first attempts, so that
/// they cannot multiply the load when endpoints fail.
class retry_budget {
public:
  /// \param Share tokens earned by each first attempt; a retry costs one.
  /// \param Burst most tokens saved up, and those at the start.
  retry_budget(double Share, double Burst)
      : Share(Share), Burst(Burst), Tokens(Burst) {}

  void onFirstAttempt() { Tokens = std::min(Burst, Tokens + Share); }
  bool available() const { return Tokens >= 1; }
  /// Pays for one retry or hedge; false if the budget is spent.
  bool take() {
    if (!available())
      return false;
    Tokens -= 1;
    return true;
  }

private:
  double Share;
  double Burst;
  double Tokens;
};

} // namespace geraniumpaddle
