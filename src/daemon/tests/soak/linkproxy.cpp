#include "daemon/tests/soak/linkproxy.h"

#include "transport/address.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace geraniumpaddle::tests {

namespace {

constexpr duration ShortDelay = std::chrono::milliseconds(150);

sockaddr_in socketAddress(const socket_address &Address) {
  sockaddr_in Raw{};
  Raw.sin_family = AF_INET;
  Raw.sin_port = htons(Address.Port);
  inet_pton(AF_INET, Address.Ip.c_str(), &Raw.sin_addr);
  return Raw;
}

struct free_buffer {
  void operator()(bufferevent *Buffer) const { bufferevent_free(Buffer); }
};
using buffer_ptr = std::unique_ptr<bufferevent, free_buffer>;

struct free_listener {
  void operator()(evconnlistener *Raw) const { evconnlistener_free(Raw); }
};

} // namespace

struct link_proxy::listener {
  std::unique_ptr<evconnlistener, free_listener> Raw;
};

/// One connection of a caller and the one that it is passed on to.
struct link_proxy::pair {
  link_proxy *Owner = nullptr;
  buffer_ptr Caller;
  buffer_ptr Target;
  bool Silenced = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  ~pair() { *Alive = false; }
};

link_proxy::link_proxy(event_loop &Loop, std::string Target)
    : Loop(Loop), Target(std::move(Target)),
      Listener(std::make_unique<listener>()) {
  const sockaddr_in Any = socketAddress({"127.0.0.1", 0});
  Listener->Raw.reset(evconnlistener_new_bind(
      Loop.base(),
      [](evconnlistener *, evutil_socket_t Descriptor, sockaddr *, int,
         void *Self) { static_cast<link_proxy *>(Self)->accepted(Descriptor); },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<const sockaddr *>(&Any), sizeof Any));
  if (!Listener->Raw)
    throw bind_error({"127.0.0.1", 0});
}

link_proxy::~link_proxy() = default;

std::string link_proxy::address() const {
  return "127.0.0.1:" +
         std::to_string(boundPort(evconnlistener_get_fd(Listener->Raw.get())));
}

void link_proxy::accepted(int Descriptor) {
  if (Current == link_fault::Refuse) {
    ::close(Descriptor);
    return;
  }
  auto Pair = std::make_unique<pair>();
  Pair->Owner = this;
  Pair->Caller.reset(
      bufferevent_socket_new(Loop.base(), Descriptor, BEV_OPT_CLOSE_ON_FREE));
  Pair->Target.reset(
      bufferevent_socket_new(Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE));
  const auto OnEvent = [](bufferevent *, short What, void *Raw) {
    auto *Which = static_cast<pair *>(Raw);
    if ((What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
      Which->Owner->close(*Which);
  };
  bufferevent_setcb(
      Pair->Caller.get(),
      [](bufferevent *, void *Raw) {
        auto *Which = static_cast<pair *>(Raw);
        Which->Owner->passOn(*Which, true);
      },
      nullptr, OnEvent, Pair.get());
  bufferevent_setcb(
      Pair->Target.get(),
      [](bufferevent *, void *Raw) {
        auto *Which = static_cast<pair *>(Raw);
        Which->Owner->passOn(*Which, false);
      },
      nullptr, OnEvent, Pair.get());
  const sockaddr_in To = socketAddress(parseAddress(Target));
  bufferevent_socket_connect(
      Pair->Target.get(), reinterpret_cast<const sockaddr *>(&To), sizeof To);
  bufferevent_enable(Pair->Caller.get(), EV_READ | EV_WRITE);
  bufferevent_enable(Pair->Target.get(), EV_READ | EV_WRITE);
  Pairs.push_back(std::move(Pair));
}

void link_proxy::passOn(pair &Pair, bool FromCaller) {
  bufferevent *From = FromCaller ? Pair.Caller.get() : Pair.Target.get();
  bufferevent *To = FromCaller ? Pair.Target.get() : Pair.Caller.get();
  evbuffer *Input = bufferevent_get_input(From);
  const bool Lost = Pair.Silenced || Current == link_fault::Silent ||
                    (Current == link_fault::OneWay && !FromCaller);
  if (Lost) {
    // What is held up is lost, and the connection stays silent.
    Pair.Silenced = true;
    evbuffer_drain(Input, evbuffer_get_length(Input));
  } else if (Current == link_fault::Delay) {
    Loop.startTimer(ShortDelay, [Life = Pair.Alive, From, To] {
      if (*Life)
        bufferevent_write_buffer(To, bufferevent_get_input(From));
    });
  } else {
    bufferevent_write_buffer(To, Input);
  }
}

void link_proxy::close(pair &Pair) {
  Pairs.remove_if([&](const auto &Each) { return Each.get() == &Pair; });
}

void link_proxy::reset() {
  for (const auto &Pair : Pairs)
    for (bufferevent *Side : {Pair->Caller.get(), Pair->Target.get()}) {
      const linger Hard{1, 0};
      const int Descriptor = bufferevent_getfd(Side);
      if (Descriptor >= 0)
        setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Hard, sizeof Hard);
    }
  Pairs.clear();
}

void link_proxy::silenceOpen() {
  for (const auto &Pair : Pairs)
    Pair->Silenced = true;
}

} // namespace geraniumpaddle::tests
