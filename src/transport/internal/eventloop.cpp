#include "transport/eventloop.h"

#include "core/base/error.h"
#include "logging/logging.h"
#include "transport/internal/evptr.h"

#include <event2/event.h>

#include <csignal>
#include <ctime>

namespace geraniumpaddle {

namespace {

/// A timer that fires later than this was held up by a pause of the process.
/// Longer than the pauses of a processor quota of 0.1 s.
constexpr duration MaxTimerDelay = std::chrono::milliseconds(250);
/// How long the loop reads after a pause before it fires timers: what arrived
/// meanwhile may be the answer that a timer is about to give up.
constexpr duration CatchUpTime = std::chrono::milliseconds(20);

timeval toTimeval(duration Length) {
  const auto Microseconds = std::max<duration::rep>(Length.count(), 0);
  return {.tv_sec = Microseconds / 1'000'000,
          .tv_usec = Microseconds % 1'000'000};
}

void logLibeventMessage(int Severity, const char *Message) {
  static const logger Log("libevent");
  if (Severity >= EVENT_LOG_ERR) {
    Log.error(Message);
  } else {
    Log.debug(Message);
  }
}

/// \param How SIG_BLOCK or SIG_UNBLOCK.
void changeSignalMask(int How, std::span<const int> Signals) {
  sigset_t Set{};
  sigemptyset(&Set);
  for (const int Signal : Signals) {
    sigaddset(&Set, Signal);
  }
  pthread_sigmask(How, &Set, nullptr);
}

} // namespace

void holdSignals(std::span<const int> Signals) {
  changeSignalMask(SIG_BLOCK, Signals);
}

struct event_loop::timer_entry {
  timer_entry(event_loop &Loop, timer_id Id, time_point DueAt,
              std::function<void()> Callback)
      : Loop(Loop), Id(Id), DueAt(DueAt), Callback(std::move(Callback)) {}

  event_loop &Loop;
  timer_id Id;
  time_point DueAt;
  std::function<void()> Callback;
  event_ptr Event;
};

struct event_loop::signal_entry {
  signal_entry(event_loop &Loop, std::function<void()> Handler)
      : Loop(Loop), Handler(std::move(Handler)) {}

  event_loop &Loop;
  std::function<void()> Handler;
  event_ptr Event;
};

event_loop::event_loop() {
  event_set_log_callback(&logLibeventMessage);
  std::signal(SIGPIPE, SIG_IGN);
  // With the coarse clock that libevent uses by default, timers fire early.
  event_config *Config = event_config_new();
  if (Config != nullptr) {
    event_config_set_flag(Config, EVENT_BASE_FLAG_PRECISE_TIMER);
    Base = event_base_new_with_config(Config);
    event_config_free(Config);
  }
  if (Base == nullptr) {
    throw unavailable_error("cannot create the event base");
  }
}

event_loop::~event_loop() {
  Timers.clear();
  Signals.clear();
  event_base_free(Base);
}

time_point event_loop::now() const {
  if (!CachedNow) {
    timespec Now{};
    // The monotonic clock stands still while the machine is suspended.
    clock_gettime(CLOCK_BOOTTIME, &Now);
    CachedNow =
        time_point(duration(Now.tv_sec * 1'000'000 + Now.tv_nsec / 1'000));
  }
  return *CachedNow;
}

wall_time event_loop::wallNow() const {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

timer_id event_loop::startTimer(duration After,
                                std::function<void()> Callback) {
  const timer_id Id{++LastTimer};
  auto Entry = std::make_unique<timer_entry>(*this, Id, now() + After,
                                             std::move(Callback));
  Entry->Event.reset(evtimer_new(Base, &event_loop::onTimer, Entry.get()));
  const timeval Wait = toTimeval(After);
  if (!Entry->Event || evtimer_add(Entry->Event.get(), &Wait) != 0) {
    throw unavailable_error("cannot create a timer");
  }
  Timers.emplace(Id, std::move(Entry));
  return Id;
}

void event_loop::cancelTimer(timer_id Timer) { Timers.erase(Timer); }

void event_loop::onTimer(int, short, void *Context) {
  const auto *Entry = static_cast<timer_entry *>(Context);
  event_loop &Loop = Entry->Loop;
  const bool AfterPause = Loop.now() - Entry->DueAt > MaxTimerDelay;
  const bool Hold = AfterPause || !Loop.HeldTimers.empty();
  if (Hold && Entry->Id != Loop.CatchUpTimer)
    Loop.holdTimer(Entry->Id);
  else
    Loop.fireTimer(Entry->Id);
}

void event_loop::holdTimer(timer_id Timer) {
  if (HeldTimers.empty())
    CatchUpTimer = startTimer(CatchUpTime, [this] { fireHeldTimers(); });
  HeldTimers.push_back(Timer);
}

void event_loop::fireHeldTimers() {
  for (const timer_id Timer : std::exchange(HeldTimers, {})) {
    const bool Stopped = event_base_got_break(Base) != 0;
    if (!Stopped && Timers.contains(Timer))
      fireTimer(Timer);
  }
}

void event_loop::fireTimer(timer_id Timer) {
  auto Node = Timers.extract(Timer);
  const auto Call = std::move(Node.mapped()->Callback);
  Node = {};
  invoke(Call);
}

void event_loop::onSignal(int Signal, std::function<void()> Handler) {
  auto Entry = std::make_unique<signal_entry>(*this, std::move(Handler));
  Entry->Event.reset(
      evsignal_new(Base, Signal, &event_loop::onSignalEvent, Entry.get()));
  if (!Entry->Event || evsignal_add(Entry->Event.get(), nullptr) != 0) {
    throw unavailable_error("cannot install a signal handler");
  }
  Signals[Signal] = std::move(Entry);
  changeSignalMask(SIG_UNBLOCK, {&Signal, 1});
}

void event_loop::onSignalEvent(int, short, void *Context) {
  const auto *Entry = static_cast<signal_entry *>(Context);
  Entry->Loop.invoke(Entry->Handler);
}

void event_loop::runIteration() {
  CachedNow.reset();
  event_base_loop(Base, EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
  CachedNow.reset();
  if (Failure) {
    std::rethrow_exception(std::exchange(Failure, nullptr));
  }
}

void event_loop::run() {
  while (!Stopping) {
    runIteration();
  }
  Stopping = false;
}

void event_loop::stop() {
  Stopping = true;
  event_base_loopbreak(Base);
}

void event_loop::runOnce(duration Wait) {
  bool Expired = false;
  const timer_id TimeoutTimer =
      startTimer(Wait, [&Expired] { Expired = true; });
  runIteration();
  if (!Expired) {
    cancelTimer(TimeoutTimer);
  }
}

void event_loop::fail(std::exception_ptr NewFailure) {
  if (!Failure) {
    Failure = std::move(NewFailure);
  }
  event_base_loopbreak(Base);
}

} // namespace geraniumpaddle
