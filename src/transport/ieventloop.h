#pragma once

#include "core/base/types/time.h"

#include <cstdint>
#include <functional>

namespace geraniumpaddle {

enum class timer_id : std::uint64_t {};

/// The single-threaded event loop of the process. All callbacks run on it.
class ievent_loop {
public:
  virtual ~ievent_loop() = default;

  /// Monotonic time, which counts the time that the machine is suspended;
  /// constant within one iteration of the loop. Timers don't count that time.
  virtual time_point now() const = 0;
  /// Wall-clock time, for the audit trail and logs only.
  virtual wall_time wallNow() const = 0;

  /// Calls \p Callback once, no earlier than \p After from now.
  virtual timer_id startTimer(duration After,
                              std::function<void()> Callback) = 0;
  /// Has no effect on a timer that has fired or been cancelled.
  virtual void cancelTimer(timer_id Timer) = 0;
  /// Calls \p Handler on the loop whenever the process gets \p Signal.
  virtual void onSignal(int Signal, std::function<void()> Handler) = 0;

  /// Runs until stop() is called.
  virtual void run() = 0;
  virtual void stop() = 0;
};

} // namespace geraniumpaddle
