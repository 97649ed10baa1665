#pragma once

#include "transport/eventloop.h"

#include <functional>
#include <memory>

namespace geraniumpaddle {

/// The way from library threads to the loop, and the only object that threads
/// share: a guarded queue that wakes the loop through an event descriptor.
class mailbox {
public:
  /// \throws unavailable_error if no event descriptor can be had.
  explicit mailbox(event_loop &Loop);
  /// Closes; messages that are still queued are destroyed, not run.
  ~mailbox();
  mailbox(const mailbox &) = delete;
  mailbox &operator=(const mailbox &) = delete;

  /// The sending end, for other threads. It may outlive the mailbox.
  class sender {
  public:
    /// Queues \p Message for the loop, in the order of posting.
    /// \returns false, and destroys the message, if the mailbox is closed.
    bool post(std::function<void()> Message) const;

  private:
    friend class mailbox;
    struct state;
    explicit sender(std::shared_ptr<state> State) : State(std::move(State)) {}
    std::shared_ptr<state> State;
  };

  sender address() const { return Sender; }

  /// From now on every post fails; what is queued is destroyed.
  void close();

  /// Sleeps until a message was posted or \p Wait is over, then runs what is
  /// queued. For owners that end outside a turn of the loop.
  /// \returns false if nothing was posted in that time.
  bool waitAndRun(duration Wait);

private:
  struct wake_event;

  void run();

  sender Sender;
  std::unique_ptr<wake_event> Wake;
};

} // namespace geraniumpaddle
