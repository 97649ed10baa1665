#pragma once

#include <deque>
#include <utility>

namespace geraniumpaddle {

/// Delivers events to a core one at a time. An event that is pushed from within
/// a handler is queued until the handler returns, so that the core does not
/// change commands that are still being executed.
template <typename Event> class event_queue {
public:
  /// Queues \p Next. Handles all queued events, unless a caller further up the
  /// stack already does.
  template <typename Handler>
  void push(Event Next, const Handler &HandleEvent) {
    Pending.push_back(std::move(Next));
    if (Handling)
      return;
    handling_scope Scope(Handling);
    while (!Pending.empty()) {
      Event Current = std::move(Pending.front());
      Pending.pop_front();
      HandleEvent(Current);
    }
  }

private:
  struct handling_scope {
    explicit handling_scope(bool &Flag) : Flag(Flag) { Flag = true; }
    ~handling_scope() { Flag = false; }
    handling_scope(const handling_scope &) = delete;
    handling_scope &operator=(const handling_scope &) = delete;
    bool &Flag;
  };

  std::deque<Event> Pending;
  bool Handling = false;
};

} // namespace geraniumpaddle
