#include "transport/mailbox.h"

#include "core/base/error.h"
#include "transport/internal/evptr.h"

#include <event2/event.h>

#include <mutex>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <vector>

namespace geraniumpaddle {

struct mailbox::sender::state {
  explicit state(int Descriptor) : Descriptor(Descriptor) {}
  ~state() { ::close(Descriptor); }

  /// Takes all queued messages and resets the eventfd.
  std::vector<std::function<void()>> take() {
    std::uint64_t Posted = 0;
    const std::lock_guard Lock(Mutex);
    [[maybe_unused]] const auto Size =
        ::read(Descriptor, &Posted, sizeof Posted);
    return std::exchange(Queue, {});
  }

  bool closed() {
    const std::lock_guard Lock(Mutex);
    return Closed;
  }

  const int Descriptor;
  std::mutex Mutex;
  bool Closed = false;
  std::vector<std::function<void()>> Queue;
};

struct mailbox::wake_event {
  wake_event(event_loop &Loop, std::shared_ptr<sender::state> State)
      : Loop(Loop), State(std::move(State)) {}

  event_loop &Loop;
  std::shared_ptr<sender::state> State;
  event_ptr Event;
};

namespace {

int createEventFd() {
  const int Descriptor = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (Descriptor < 0) {
    throw unavailable_error("cannot create an eventfd");
  }
  return Descriptor;
}

} // namespace

mailbox::mailbox(event_loop &Loop)
    : Sender(std::make_shared<sender::state>(createEventFd())),
      Wake(std::make_unique<wake_event>(Loop, Sender.State)) {
  Wake->Event.reset(event_new(
      Loop.base(), Sender.State->Descriptor, EV_READ | EV_PERSIST,
      [](int, short, void *Self) { static_cast<mailbox *>(Self)->run(); },
      this));
  if (!Wake->Event || event_add(Wake->Event.get(), nullptr) != 0) {
    throw unavailable_error("cannot create the event of a mailbox");
  }
}

mailbox::~mailbox() { close(); }

void mailbox::close() {
  std::vector<std::function<void()>> Dropped;
  {
    const std::lock_guard Lock(Sender.State->Mutex);
    Sender.State->Closed = true;
    Dropped.swap(Sender.State->Queue);
  }
}

bool mailbox::sender::post(std::function<void()> Message) const {
  const std::lock_guard Lock(State->Mutex);
  if (State->Closed) {
    return false;
  }
  State->Queue.push_back(std::move(Message));
  if (State->Queue.size() == 1) {
    const std::uint64_t One = 1;
    [[maybe_unused]] const auto Size =
        ::write(State->Descriptor, &One, sizeof One);
  }
  return true;
}

void mailbox::run() {
  // A message may destroy this mailbox.
  const auto State = Sender.State;
  event_loop &Loop = Wake->Loop;
  for (auto &Message : State->take()) {
    if (State->closed()) {
      return;
    }
    Loop.invoke(Message);
  }
}

bool mailbox::waitAndRun(duration Wait) {
  const auto Milliseconds =
      std::chrono::ceil<std::chrono::milliseconds>(Wait).count();
  pollfd Descriptor{
      .fd = Sender.State->Descriptor, .events = POLLIN, .revents = 0};
  if (::poll(&Descriptor, 1, static_cast<int>(Milliseconds)) <= 0) {
    return false;
  }
  run();
  return true;
}

} // namespace geraniumpaddle
