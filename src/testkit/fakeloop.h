#pragma once

#include "transport/ieventloop.h"

#include <map>
#include <utility>

namespace geraniumpaddle::testing {

/// A loop whose time the test moves.
class fake_loop final : public ievent_loop {
public:
  time_point now() const override { return Now; }
  wall_time wallNow() const override {
    return wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(
        Now.time_since_epoch()));
  }
  timer_id startTimer(duration After, std::function<void()> Callback) override {
    timer_id Id{++LastTimer};
    Timers.emplace(std::pair(Now + After, Id), std::move(Callback));
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

  /// Moves the time on and fires what becomes due, in order.
  void advance(duration By) {
    time_point End = Now + By;
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
