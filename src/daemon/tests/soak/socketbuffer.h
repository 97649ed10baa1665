#pragma once

#include "transport/address.h"

#include <event2/bufferevent.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <memory>

namespace geraniumpaddle::tests {

struct bufferevent_deleter {
  void operator()(bufferevent *Buffer) const { bufferevent_free(Buffer); }
};
using bufferevent_ptr = std::unique_ptr<bufferevent, bufferevent_deleter>;

/// An IPv4 address for calls of the kernel.
inline sockaddr_in socketAddress(const socket_address &Address) {
  sockaddr_in Raw{};
  Raw.sin_family = AF_INET;
  Raw.sin_port = htons(Address.Port);
  inet_pton(AF_INET, Address.Ip.c_str(), &Raw.sin_addr);
  return Raw;
}

} // namespace geraniumpaddle::tests
