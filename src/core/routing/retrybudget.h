#pragma once

#include <algorithm>

namespace geraniumpaddle {

/// Token bucket that limits retries and hedged attempts together to a fraction
/// of first attempts, so that they do not amplify load when endpoints fail.
class retry_budget {
public:
  /// \param Share tokens earned by each first attempt; a retry costs one.
  /// \param Burst capacity of the bucket, which starts full.
  retry_budget(double Share, double Burst)
      : Share(Share), Burst(Burst), Tokens(Burst) {}

  void onFirstAttempt() { Tokens = std::min(Burst, Tokens + Share); }
  bool available() const { return Tokens >= 1; }
  /// Takes the token of one retry or hedged attempt; false if there is none.
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
