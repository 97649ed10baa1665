#include "daemon/tests/soak/faultproxy.h"

#include "daemon/tests/soak/socketbuffer.h"
#include "transport/address.h"

#include <event2/buffer.h>
#include <event2/listener.h>

#include <sys/socket.h>
#include <unistd.h>

#include <vector>

namespace geraniumpaddle::tests {

namespace {

constexpr duration ForwardingDelay = std::chrono::milliseconds(150);
/// Time for held data to be written before an ended connection is closed.
constexpr duration ReleaseTime = std::chrono::milliseconds(100);

struct listener_deleter {
  void operator()(evconnlistener *Raw) const { evconnlistener_free(Raw); }
};

} // namespace

struct fault_proxy::listener {
  std::unique_ptr<evconnlistener, listener_deleter> Raw;
};

/// The connection of a caller and the one to the target.
struct fault_proxy::connection {
  fault_proxy *Proxy = nullptr;
  bufferevent_ptr Caller;
  bufferevent_ptr Target;
  bool Silenced = false;
  bool Ended = false; ///< one side ended while data was held
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  ~connection() { *Alive = false; }
};

fault_proxy::fault_proxy(event_loop &Loop, std::string Target)
    : Loop(Loop), Target(std::move(Target)),
      Listener(std::make_unique<listener>()) {
  const sockaddr_in Any = socketAddress({"127.0.0.1", 0});
  Listener->Raw.reset(evconnlistener_new_bind(
      Loop.base(),
      [](evconnlistener *, evutil_socket_t Descriptor, sockaddr *, int,
         void *Self) {
        static_cast<fault_proxy *>(Self)->onAccept(Descriptor);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<const sockaddr *>(&Any), sizeof Any));
  if (!Listener->Raw)
    throw bind_error({"127.0.0.1", 0});
}

fault_proxy::~fault_proxy() = default;

std::string fault_proxy::address() const {
  return "127.0.0.1:" +
         std::to_string(boundPort(evconnlistener_get_fd(Listener->Raw.get())));
}

void fault_proxy::onAccept(int Descriptor) {
  if (CurrentFault == network_fault::Refuse || Target.empty()) {
    ::close(Descriptor);
    return;
  }
  auto Connection = std::make_unique<connection>();
  Connection->Proxy = this;
  Connection->Caller.reset(
      bufferevent_socket_new(Loop.base(), Descriptor, BEV_OPT_CLOSE_ON_FREE));
  Connection->Target.reset(
      bufferevent_socket_new(Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE));
  const auto OnEvent = [](bufferevent *, short Events, void *Raw) {
    auto *Link = static_cast<connection *>(Raw);
    if ((Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
      Link->Proxy->onEnd(*Link);
  };
  bufferevent_setcb(
      Connection->Caller.get(),
      [](bufferevent *, void *Raw) {
        auto *Link = static_cast<connection *>(Raw);
        Link->Proxy->forward(*Link, true);
      },
      nullptr, OnEvent, Connection.get());
  bufferevent_setcb(
      Connection->Target.get(),
      [](bufferevent *, void *Raw) {
        auto *Link = static_cast<connection *>(Raw);
        Link->Proxy->forward(*Link, false);
      },
      nullptr, OnEvent, Connection.get());
  const sockaddr_in To = socketAddress(parseAddress(Target));
  bufferevent_socket_connect(Connection->Target.get(),
                             reinterpret_cast<const sockaddr *>(&To),
                             sizeof To);
  bufferevent_enable(Connection->Caller.get(), EV_READ | EV_WRITE);
  bufferevent_enable(Connection->Target.get(), EV_READ | EV_WRITE);
  Connections.push_back(std::move(Connection));
}

void fault_proxy::forward(connection &Connection, bool FromCaller) {
  bufferevent *From =
      FromCaller ? Connection.Caller.get() : Connection.Target.get();
  bufferevent *To =
      FromCaller ? Connection.Target.get() : Connection.Caller.get();
  evbuffer *Input = bufferevent_get_input(From);
  const bool Discard = Connection.Silenced ||
                       CurrentFault == network_fault::Silent ||
                       (CurrentFault == network_fault::OneWay && !FromCaller);
  if (CurrentFault == network_fault::Hold && !Connection.Silenced)
    return; // stays in the input buffer
  if (Discard) {
    // Discarded data cannot be recovered, so the connection stays silent even
    // after the fault is cleared.
    Connection.Silenced = true;
    evbuffer_drain(Input, evbuffer_get_length(Input));
  } else if (CurrentFault == network_fault::Delay) {
    Loop.startTimer(ForwardingDelay, [StillOpen = Connection.Alive, From, To] {
      if (*StillOpen)
        bufferevent_write_buffer(To, bufferevent_get_input(From));
    });
  } else {
    bufferevent_write_buffer(To, Input);
  }
}

void fault_proxy::setFault(network_fault Fault) {
  const bool Releases = CurrentFault == network_fault::Hold;
  CurrentFault = Fault;
  if (!Releases || Fault == network_fault::Hold)
    return;
  std::vector<std::pair<std::shared_ptr<bool>, connection *>> Ended;
  for (const auto &Connection : Connections) {
    forward(*Connection, true);
    forward(*Connection, false);
    if (Connection->Ended)
      Ended.emplace_back(Connection->Alive, Connection.get());
  }
  Loop.startTimer(ReleaseTime, [this, Ended] {
    for (const auto &[StillOpen, Each] : Ended)
      if (*StillOpen)
        close(*Each);
  });
}

void fault_proxy::onEnd(connection &Connection) {
  if (CurrentFault == network_fault::Hold)
    Connection.Ended = true;
  else
    close(Connection);
}

void fault_proxy::close(connection &Connection) {
  Connections.remove_if(
      [&](const auto &Each) { return Each.get() == &Connection; });
}

void fault_proxy::resetConnections() {
  for (const auto &Connection : Connections)
    for (bufferevent *Side :
         {Connection->Caller.get(), Connection->Target.get()}) {
      const linger ResetOnClose{1, 0};
      const int Descriptor = bufferevent_getfd(Side);
      if (Descriptor >= 0)
        setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &ResetOnClose,
                   sizeof ResetOnClose);
    }
  Connections.clear();
}

void fault_proxy::silenceConnections() {
  for (const auto &Connection : Connections)
    Connection->Silenced = true;
}

} // namespace geraniumpaddle::tests
