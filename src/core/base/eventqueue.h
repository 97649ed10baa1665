#pragma once

#include <deque>
#include <utility>

namespace geraniumpaddle {

/// Hands events to a core one at a time. An event that is pushed while another
/// is being handled waits its turn, so that commands stay valid while they are
/// carried out.
template <typename Event> class event_queue {
public:
  /// Queues \p Next and, unless a call further up does so already, handles
  /// everything that is queued.
  template <typename Handler> void push(Event Next, const Handler &HandleOne) {
    Waiting.push_back(std::move(Next));
    if (Handling)
      return;
    handling_scope Scope(Handling);
    while (!Waiting.empty()) {
      Event Current = std::move(Waiting.front());
      Waiting.pop_front();
      HandleOne(Current);
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

  std::deque<Event> Waiting;
  bool Handling = false;
};

} // namespace geraniumpaddle
