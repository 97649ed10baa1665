#pragma once

#include "core/base/error.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpaddle {

/// An IP address and a port; host names are not resolved.
struct socket_address {
  std::string Ip; ///< IPv4, or IPv6 without brackets
  std::uint16_t Port = 0;

  bool isIpv6() const { return Ip.find(':') != std::string::npos; }
  /// ip:port, with brackets around an IPv6 address.
  std::string str() const;
};

/// Parses "1.2.3.4:80" or "[::1]:80"; nothing if \p Text is anything else.
std::optional<socket_address> findAddress(std::string_view Text);

/// Like findAddress(), for addresses that have to be valid.
/// \throws invalid_argument_error if \p Text is anything else.
socket_address parseAddress(std::string_view Text);

/// Replaces the port of each of \p Addresses by that of \p Other. All VMs use
/// the same ports.
/// \throws invalid_argument_error
std::vector<std::string> withPortOf(std::string_view Other,
                                    std::span<const std::string> Addresses);

/// The local port that the socket \p Descriptor is bound to.
std::uint16_t boundPort(int Descriptor);

/// Thrown if a listening address cannot be bound.
class bind_error : public error {
public:
  explicit bind_error(const socket_address &Address)
      : error(error_kind::Unavailable, "cannot listen on " + Address.str()) {}
};

} // namespace geraniumpaddle
