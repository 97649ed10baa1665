#include "transport/internal/httpmethod.h"

#include "transport/ihttpclient.h"

#include <algorithm>
#include <array>

namespace geraniumpaddle {

namespace {

constexpr std::array Methods{
    http_method{"GET", EVHTTP_REQ_GET, true, false},
    http_method{"HEAD", EVHTTP_REQ_HEAD, true, false},
    http_method{"POST", EVHTTP_REQ_POST, false, true},
    http_method{"PUT", EVHTTP_REQ_PUT, true, true},
    http_method{"DELETE", EVHTTP_REQ_DELETE, true, false},
    http_method{"PATCH", EVHTTP_REQ_PATCH, false, true},
    http_method{"OPTIONS", EVHTTP_REQ_OPTIONS, true, false},
};

template <typename Predicate>
std::optional<http_method> findIf(Predicate Matches) {
  const auto *Found = std::find_if(Methods.begin(), Methods.end(), Matches);
  if (Found == Methods.end()) {
    return std::nullopt;
  }
  return *Found;
}

} // namespace

std::optional<http_method> findMethod(std::string_view Name) {
  return findIf([&](const http_method &Entry) { return Entry.Name == Name; });
}

std::optional<http_method> findMethod(evhttp_cmd_type Command) {
  return findIf(
      [&](const http_method &Entry) { return Entry.Command == Command; });
}

ev_uint16_t allMethods() {
  unsigned Mask = 0;
  for (const auto &Entry : Methods) {
    Mask |= Entry.Command;
  }
  return static_cast<ev_uint16_t>(Mask);
}

std::string_view name(call_status Status) {
  static constexpr std::array<std::string_view, 4> Names{
      "completed", "not_sent", "lost", "timed_out"};
  return Names.at(static_cast<std::size_t>(Status));
}

} // namespace geraniumpaddle
