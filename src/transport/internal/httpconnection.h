#pragma once

#include "transport/address.h"
#include "transport/eventloop.h"
#include "transport/httpclient.h"
#include "transport/internal/evptr.h"

#include <functional>
#include <memory>

struct bufferevent;
struct evbuffer_cb_info;

namespace geraniumpaddle {

/// One client connection; handles one call at a time.
class http_connection {
public:
  /// Called when a call has ended or an idle connection was closed. evhttp is
  /// still using the connection then, so the callback must not destroy it.
  using change_callback = std::function<void(http_connection &)>;

  http_connection(event_loop &Loop, const socket_address &Address,
                  const http_client_limits &Limits, change_callback Changed);
  ~http_connection();
  http_connection(const http_connection &) = delete;
  http_connection &operator=(const http_connection &) = delete;

  /// Starts \p Call. The result is available when the change callback is
  /// called, possibly before this returns.
  void start(const http_call &Call);

  /// True if the last call has ended and result() is valid.
  bool finished() const { return Finished; }
  http_result &result() { return Result; }
  /// True if another call can use this connection. Peeks at the socket to
  /// detect that the server has closed it.
  bool usable() const;
  /// True if no byte of the current call was written.
  bool nothingWritten() const { return Written == 0; }
  std::uint64_t bytesIn() const { return Read; }
  std::uint64_t bytesOut() const { return Written; }

private:
  struct free_connection {
    void operator()(evhttp_connection *Raw) const {
      evhttp_connection_free(Raw);
    }
  };

  static void onDone(evhttp_request *Request, void *Self);
  static void onClosed(evhttp_connection *Raw, void *Self);
  static void onWritten(evbuffer *, const evbuffer_cb_info *Info, void *Self);
  static void onRead(evbuffer *, const evbuffer_cb_info *Info, void *Self);

  void finish(evhttp_request *Request);
  bool isComplete(const evhttp_request &Request) const;
  evhttp_request *newRequest(const http_call &Call);

  socket_address Address;
  http_client_limits Limits;
  change_callback Changed;
  bufferevent *Buffer;
  std::unique_ptr<evhttp_connection, free_connection> Raw;
  std::string Method;
  http_result Result;
  bool Finished = false;
  bool Closed = false;
  std::uint64_t Written = 0;
  std::uint64_t Read = 0;
};

} // namespace geraniumpaddle
