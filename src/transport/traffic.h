#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace geraniumpaddle {

/// Bytes and messages of one scope and cause.
struct traffic_count {
  std::uint64_t BytesIn = 0;
  std::uint64_t BytesOut = 0;
  std::uint64_t Messages = 0;
};

/// Maps the ip:port of a remote host to a scope, such as its region.
using traffic_scope_function = std::function<std::string(std::string_view)>;

/// Counts the bytes sent and received, by scope and by cause, such as the kind
/// of request.
class traffic_counter {
public:
  struct key {
    std::string Scope;
    std::string Cause;

    friend auto operator<=>(const key &, const key &) = default;
  };

  /// \param ScopeOf if null, every remote has the scope "".
  explicit traffic_counter(traffic_scope_function ScopeOf = nullptr)
      : ScopeOf(std::move(ScopeOf)) {}

  /// Counts one message, or one request and its response, to or from \p Remote,
  /// an ip:port.
  void add(std::string_view Remote, std::string_view Cause,
           std::uint64_t BytesIn, std::uint64_t BytesOut) {
    auto &Count = Counts[key{ScopeOf ? ScopeOf(Remote) : std::string(),
                             std::string(Cause)}];
    Count.BytesIn += BytesIn;
    Count.BytesOut += BytesOut;
    ++Count.Messages;
  }

  const std::map<key, traffic_count> &counts() const { return Counts; }

private:
  traffic_scope_function ScopeOf;
  std::map<key, traffic_count> Counts;
};

} // namespace geraniumpaddle
