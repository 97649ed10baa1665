#include "transport/address.h"

#include <arpa/inet.h>
#include <charconv>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace geraniumpaddle {

namespace {

bool isIp(const std::string &Ip) {
  in6_addr Parsed{};
  const int Family = Ip.find(':') == std::string::npos ? AF_INET : AF_INET6;
  return ::inet_pton(Family, Ip.c_str(), &Parsed) == 1;
}

bool parsePort(std::string_view Text, std::uint16_t &Port) {
  const char *End = Text.data() + Text.size();
  const auto [ParsedEnd, Failure] = std::from_chars(Text.data(), End, Port);
  return !Text.empty() && Failure == std::errc() && ParsedEnd == End;
}

} // namespace

std::string socket_address::str() const {
  const std::string Host = isIpv6() ? "[" + Ip + "]" : Ip;
  return Host + ":" + std::to_string(Port);
}

std::optional<socket_address> findAddress(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  socket_address Address;
  if (Colon != std::string_view::npos) {
    std::string_view Ip = Text.substr(0, Colon);
    const bool Bracketed = Ip.starts_with('[') && Ip.ends_with(']');
    if (Bracketed) {
      Ip = Ip.substr(1, Ip.size() - 2);
    }
    Address.Ip = Ip;
    if (Bracketed == Address.isIpv6() && isIp(Address.Ip) &&
        parsePort(Text.substr(Colon + 1), Address.Port)) {
      return Address;
    }
  }
  return std::nullopt;
}

socket_address parseAddress(std::string_view Text) {
  if (auto Address = findAddress(Text)) {
    return std::move(*Address);
  }
  throw invalid_argument_error("\"" + std::string(Text) +
                               "\" is not an address of the form ip:port");
}

std::vector<std::string> withPortOf(std::string_view Other,
                                    std::span<const std::string> Addresses) {
  const std::uint16_t Port = parseAddress(Other).Port;
  std::vector<std::string> Changed;
  for (const std::string &Each : Addresses) {
    socket_address Address = parseAddress(Each);
    Address.Port = Port;
    Changed.push_back(Address.str());
  }
  return Changed;
}

std::uint16_t boundPort(int Descriptor) {
  sockaddr_storage Address{};
  socklen_t Size = sizeof Address;
  ::getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.ss_family == AF_INET6
                   ? reinterpret_cast<sockaddr_in6 &>(Address).sin6_port
                   : reinterpret_cast<sockaddr_in &>(Address).sin_port);
}

} // namespace geraniumpaddle
