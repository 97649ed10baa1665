#pragma once

#include "transport/ieventloop.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace geraniumpaddle {

/// Restartable one-shot timer; its destructor cancels it.
class timer {
public:
  explicit timer(ievent_loop &Loop) : Loop(Loop) {}
  ~timer() { cancel(); }
  timer(const timer &) = delete;
  timer &operator=(const timer &) = delete;

  /// Calls \p Callback once after \p After; a timer that is already running
  /// is restarted.
  void start(duration After, std::function<void()> Callback) {
    cancel();
    Running = true;
    Id = Loop.startTimer(After, [this, Callback = std::move(Callback)] {
      Running = false;
      // The callback may destroy or restart this timer.
      const auto Call = Callback;
      Call();
    });
  }

  /// As above, at \p At, or in the next iteration of the loop if \p At has
  /// passed.
  void startAt(time_point At, std::function<void()> Callback) {
    start(std::max(At - Loop.now(), duration::zero()), std::move(Callback));
  }

  void cancel() {
    if (Running) {
      Running = false;
      Loop.cancelTimer(Id);
    }
  }

  bool running() const { return Running; }

private:
  ievent_loop &Loop;
  timer_id Id{};
  bool Running = false;
};

} // namespace geraniumpaddle
