#pragma once

#include "transport/ieventloop.h"

#include <exception>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

struct event_base;

namespace geraniumpaddle {

/// The loop over libevent. It sleeps in the kernel until a socket, a timer or
/// a signal needs it. Not thread-safe: used by the thread that runs it only;
/// other threads post to a mailbox. SIGPIPE is ignored from construction on.
class event_loop final : public ievent_loop {
public:
  /// \throws unavailable_error if the system gives no event queue.
  event_loop();
  ~event_loop() override;
  event_loop(const event_loop &) = delete;
  event_loop &operator=(const event_loop &) = delete;

  time_point now() const override;
  wall_time wallNow() const override;
  timer_id startTimer(duration After, std::function<void()> Fire) override;
  void cancelTimer(timer_id Timer) override;
  void onSignal(int Signal, std::function<void()> Handler) override;
  void run() override;
  void stop() override;

  /// Handles what is ready and waits at most \p Wait for the first event.
  void runOnce(duration Wait);

  /// Runs \p Work for a callback of a C library, which no exception may
  /// cross: one that leaves it ends the loop and is thrown by run().
  template <typename Function> void invoke(Function &&Work) {
    try {
      std::forward<Function>(Work)();
    } catch (...) {
      fail(std::current_exception());
    }
  }

  /// The libevent base, for the other classes of this library.
  event_base *base() const { return Base; }

private:
  struct timer_entry;
  struct signal_entry;

  static void onTimer(int, short, void *Context);
  static void onSignalEvent(int, short, void *Context);

  void fire(timer_id Timer);
  void turn();
  void fail(std::exception_ptr Failure);

  event_base *Base = nullptr;
  mutable std::optional<time_point> TurnTime;
  bool Stopping = false;
  std::exception_ptr Failure;
  std::uint64_t LastTimer = 0;
  std::unordered_map<timer_id, std::unique_ptr<timer_entry>> Timers;
  std::unordered_map<int, std::unique_ptr<signal_entry>> Signals;
};

} // namespace geraniumpaddle
