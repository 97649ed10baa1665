#pragma once

#include "daemon/tests/soak/socketbuffer.h"
#include "transport/eventloop.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace geraniumpaddle::tests {

enum class exchange_outcome : std::uint8_t {
  Answered,
  NotSent,  ///< the connection failed before the whole request was written
  Broken,   ///< the connection ended after that, without a whole response
  TimedOut, ///< the caller gave up
};

/// What a caller saw of one request.
struct exchange_result {
  exchange_outcome Outcome = exchange_outcome::NotSent;
  int Code = 0; ///< HTTP status; only if Answered
  std::string Body = {};
  time_point SentAt{}; ///< when the last byte of the request was written
  time_point EndedAt{};
};

/// A caller's connection, which is kept for as long as the server keeps it. It
/// carries one request at a time.
class kept_connection {
public:
  using result_handler = std::function<void(const exchange_result &)>;

  /// \param Address ip:port
  kept_connection(event_loop &Loop, const std::string &Address);
  ~kept_connection();
  kept_connection(const kept_connection &) = delete;
  kept_connection &operator=(const kept_connection &) = delete;

  /// True if another request can be sent.
  bool usable() const { return Usable; }
  /// \param Request the bytes of an HTTP/1.1 request.
  /// \param Done may destroy the connection.
  void send(const std::string &Request, duration Timeout, result_handler Done);

private:
  void onWritten();
  void onReadable();
  void onEnd();
  void finish(exchange_result Result);

  event_loop &Loop;
  bufferevent_ptr Buffer;
  bool Usable = true;
  std::string Received;
  std::optional<time_point> SentAt;
  result_handler Done;
  timer_id TimeoutTimer{};
};

} // namespace geraniumpaddle::tests
