#pragma once

#include "transport/eventloop.h"

#include <functional>
#include <memory>

namespace geraniumpaddle {

/// Runs callbacks that library threads post on the event loop. It is the only
/// object that threads share: a mutex-protected queue that wakes the loop
/// through an eventfd.
class mailbox {
public:
  /// \throws unavailable_error if the eventfd or its event cannot be created.
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

  /// Makes every later post fail and destroys the queued messages.
  void close();

  /// Blocks until a message is posted or \p Wait has passed, then runs the
  /// queued messages. For destructors, which may run while the loop does not.
  /// \returns false if nothing was posted in that time.
  bool waitAndRun(duration Wait);

private:
  struct wake_event;

  void run();

  sender Sender;
  std::unique_ptr<wake_event> Wake;
};

} // namespace geraniumpaddle
