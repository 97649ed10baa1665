#pragma once

#include "core/base/types/time.h"

#include <cstdint>
#include <functional>

namespace geraniumpaddle {

enum class timer_id : std::uint64_t {};

/// The one loop on the one thread. Every callback of the project runs on it.
class ievent_loop {
public:
  virtual ~ievent_loop() = default;

  /// Monotonic time, read once per turn of the loop.
  virtual time_point now() const = 0;
  /// Calendar time, for the audit trail and logs only.
  virtual wall_time wallNow() const = 0;

  /// Calls \p Fire once, no earlier than \p After from now.
  virtual timer_id startTimer(duration After, std::function<void()> Fire) = 0;
  /// Has no effect on a timer that fired or was cancelled.
  virtual void cancelTimer(timer_id Timer) = 0;
  /// Calls \p Handler on the loop whenever the process gets \p Signal.
  virtual void onSignal(int Signal, std::function<void()> Handler) = 0;

  /// Runs until stop() is called.
  virtual void run() = 0;
  virtual void stop() = 0;
};

} // namespace geraniumpaddle
