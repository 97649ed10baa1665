#pragma once

#include "transport/ieventloop.h"

#include <exception>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

struct event_base;

namespace geraniumpaddle {

/// Holds back \p Signals until event_loop::onSignal() has installed a handler.
/// To be called before the process starts threads.
void holdSignals(std::span<const int> Signals);

/// Event loop over libevent. It blocks in the kernel until a socket, a timer or
/// a signal is ready. After a pause of the process, it reads what has arrived
/// before it fires the timers that have passed. Not thread-safe: only the
/// thread that runs the loop may use it; other threads post to a mailbox. The
/// constructor makes the process ignore SIGPIPE.
class event_loop final : public ievent_loop {
public:
  /// \throws unavailable_error if libevent cannot create its event base.
  event_loop();
  ~event_loop() override;
  event_loop(const event_loop &) = delete;
  event_loop &operator=(const event_loop &) = delete;

  time_point now() const override;
  wall_time wallNow() const override;
  timer_id startTimer(duration After, std::function<void()> Callback) override;
  void cancelTimer(timer_id Timer) override;
  void onSignal(int Signal, std::function<void()> Handler) override;
  void run() override;
  void stop() override;

  /// Runs one iteration, which waits at most \p Wait for the first event.
  void runOnce(duration Wait);

  /// Runs \p Work on behalf of a callback from a C library, through which no
  /// exception may propagate: an exception stops the loop and is rethrown by
  /// run().
  template <typename Function> void invoke(Function &&Work) {
    try {
      std::forward<Function>(Work)();
    } catch (...) {
      fail(std::current_exception());
    }
  }

  /// The libevent event base, for the other classes of this library.
  event_base *base() const { return Base; }

private:
  struct timer_entry;
  struct signal_entry;

  static void onTimer(int, short, void *Context);
  static void onSignalEvent(int, short, void *Context);

  void holdTimer(timer_id Timer);
  void fireHeldTimers();
  void fireTimer(timer_id Timer);
  void runIteration();
  void fail(std::exception_ptr Failure);

  event_base *Base = nullptr;
  mutable std::optional<time_point> CachedNow;
  bool Stopping = false;
  std::exception_ptr Failure;
  std::uint64_t LastTimer = 0;
  std::unordered_map<timer_id, std::unique_ptr<timer_entry>> Timers;
  std::unordered_map<int, std::unique_ptr<signal_entry>> Signals;
  std::vector<timer_id> HeldTimers; ///< fire after CatchUpTimer, in this order
  timer_id CatchUpTimer{};
};

} // namespace geraniumpaddle
