#pragma once

#include "transport/ieventloop.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace geraniumpaddle {

/// One restartable timer that is cancelled with its owner.
class timer {
public:
  explicit timer(ievent_loop &Loop) : Loop(Loop) {}
  ~timer() { cancel(); }
  timer(const timer &) = delete;
  timer &operator=(const timer &) = delete;

  /// Calls \p Fire once after \p After; replaces an earlier start.
  void start(duration After, std::function<void()> Fire) {
    cancel();
    Running = true;
    Id = Loop.startTimer(After, [this, Fire = std::move(Fire)] {
      Running = false;
      // The callback may destroy or restart this timer.
      const auto Call = Fire;
      Call();
    });
  }

  /// As above, at \p At, or as soon as the loop turns if that is over.
  void startAt(time_point At, std::function<void()> Fire) {
    start(std::max(At - Loop.now(), duration::zero()), std::move(Fire));
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
