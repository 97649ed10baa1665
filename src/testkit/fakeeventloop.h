#pragma once

#include "transport/ieventloop.h"

#include <map>
#include <utility>

namespace geraniumpaddle::testing {

/// An event loop with a simulated clock that the test advances.
class fake_event_loop final : public ievent_loop {
public:
  time_point now() const override { return Now; }
  wall_time wallNow() const override {
    return wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(
        Now.time_since_epoch()));
  }
  timer_id startTimer(duration Delay, std::function<void()> Callback) override {
    timer_id Id{++LastTimer};
    Timers.emplace(std::pair(Now + Delay, Id), std::move(Callback));
    return Id;
  }
  void cancelTimer(timer_id Timer) override {
    std::erase_if(Timers, [Timer](const auto &Entry) {
      return Entry.first.second == Timer;
    });
  }
  void onSignal(int, std::function<void()>) override {}
  void run() override {}
  void stop() override {}

  /// Advances the clock and runs the timers that become due, in order.
  void advance(duration Elapsed) {
    time_point End = Now + Elapsed;
    while (!Timers.empty() && Timers.begin()->first.first <= End) {
      auto Due = Timers.extract(Timers.begin());
      Now = std::max(Now, Due.key().first);
      Due.mapped()();
    }
    Now = End;
  }

private:
  time_point Now{std::chrono::hours(1)};
  std::uint64_t LastTimer = 0;
  std::map<std::pair<time_point, timer_id>, std::function<void()>> Timers;
};

} // namespace geraniumpaddle::testing
