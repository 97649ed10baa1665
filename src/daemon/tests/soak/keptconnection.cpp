#include "daemon/tests/soak/keptconnection.h"

#include <event2/buffer.h>
#include <event2/event.h>

#include <cstdlib>
#include <string_view>
#include <utility>

namespace geraniumpaddle::tests {

kept_connection::kept_connection(event_loop &Loop, const std::string &Address)
    : Loop(Loop),
      Buffer(bufferevent_socket_new(Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
  const sockaddr_in Target = socketAddress(parseAddress(Address));
  bufferevent_setcb(
      Buffer.get(),
      [](bufferevent *, void *Self) {
        static_cast<kept_connection *>(Self)->onReadable();
      },
      [](bufferevent *, void *Self) {
        static_cast<kept_connection *>(Self)->onWritten();
      },
      [](bufferevent *, short Events, void *Self) {
        if ((Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
          static_cast<kept_connection *>(Self)->onEnd();
      },
      this);
  bufferevent_socket_connect(
      Buffer.get(), reinterpret_cast<const sockaddr *>(&Target), sizeof Target);
  bufferevent_enable(Buffer.get(), EV_READ | EV_WRITE);
}

kept_connection::~kept_connection() {
  if (Done)
    Loop.cancelTimer(TimeoutTimer);
}

void kept_connection::send(const std::string &Request, duration Timeout,
                           result_handler Handler) {
  Done = std::move(Handler);
  SentAt.reset();
  Received.clear();
  TimeoutTimer = Loop.startTimer(Timeout, [this] {
    finish({.Outcome = SentAt ? exchange_outcome::TimedOut
                              : exchange_outcome::NotSent});
  });
  bufferevent_write(Buffer.get(), Request.data(), Request.size());
}

void kept_connection::onWritten() {
  if (Done && !SentAt)
    SentAt = Loop.now();
}

void kept_connection::onReadable() {
  evbuffer *Input = bufferevent_get_input(Buffer.get());
  const std::size_t Size = evbuffer_get_length(Input);
  const std::size_t Before = Received.size();
  Received.resize(Before + Size);
  evbuffer_remove(Input, Received.data() + Before, Size);
  const std::size_t HeaderEnd = Received.find("\r\n\r\n");
  if (!Done || HeaderEnd == Received.npos)
    return;
  const std::string_view Header =
      std::string_view(Received).substr(0, HeaderEnd);
  constexpr std::string_view LengthField = "Content-Length: ";
  const std::size_t LengthAt = Header.find(LengthField);
  const std::size_t Length =
      LengthAt == Header.npos
          ? 0
          : std::strtoull(Received.c_str() + LengthAt + LengthField.size(),
                          nullptr, 10);
  const std::size_t BodyAt = HeaderEnd + 4;
  if (Received.size() < BodyAt + Length)
    return;
  Usable = Header.find("Connection: close") == Header.npos;
  constexpr std::size_t CodeAt = std::string_view("HTTP/1.1 ").size();
  finish({.Outcome = exchange_outcome::Answered,
          .Code = std::atoi(Received.c_str() + CodeAt),
          .Body = Received.substr(BodyAt, Length)});
}

void kept_connection::onEnd() {
  Usable = false;
  if (Done)
    finish({.Outcome =
                SentAt ? exchange_outcome::Broken : exchange_outcome::NotSent});
}

void kept_connection::finish(exchange_result Result) {
  Loop.cancelTimer(TimeoutTimer);
  Usable = Usable && Result.Outcome == exchange_outcome::Answered;
  Result.EndedAt = Loop.now();
  Result.SentAt = SentAt.value_or(Result.EndedAt);
  const result_handler Handler = std::exchange(Done, nullptr);
  Handler(Result);
}

} // namespace geraniumpaddle::tests
