#pragma once

#include "core/base/error.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpaddle {

/// An IP number and a port; names are not resolved.
struct socket_address {
  std::string Ip; ///< IPv4, or IPv6 without brackets
  std::uint16_t Port = 0;

  bool isIpv6() const { return Ip.find(':') != std::string::npos; }
  /// ip:port, with brackets round an IPv6 number.
  std::string str() const;
};

/// Parses "1.2.3.4:80" or "[::1]:80".
/// \throws invalid_argument_error if \p Text is anything else.
socket_address parseAddress(std::string_view Text);

/// \p Addresses with the port of \p Other: all VMs use the same ports.
/// \throws invalid_argument_error
std::vector<std::string> withPortOf(std::string_view Other,
                                    std::span<const std::string> Addresses);

/// Port that the socket \p Descriptor is bound to.
std::uint16_t boundPort(int Descriptor);

/// A listening address that cannot be bound.
class bind_error : public error {
public:
  explicit bind_error(const socket_address &Address)
      : error(error_kind::Unavailable, "cannot listen on " + Address.str()) {}
};

} // namespace geraniumpaddle
