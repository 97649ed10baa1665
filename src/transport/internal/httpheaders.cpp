#include "transport/internal/httpheaders.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <strings.h>

namespace geraniumpaddle {

namespace {

bool isFramingHeader(std::string_view Name) {
  return equalNames(Name, "Content-Length") ||
         equalNames(Name, "Transfer-Encoding");
}

} // namespace

bool equalNames(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         ::strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

const std::string *findHeader(std::span<const http_header> Headers,
                              std::string_view Name) {
  const auto Found = std::find_if(
      Headers.begin(), Headers.end(),
      [&](const http_header &Header) { return equalNames(Header.Name, Name); });
  return Found == Headers.end() ? nullptr : &Found->Value;
}

std::vector<http_header> copyHeaders(const evkeyvalq &Headers) {
  std::vector<http_header> Copy;
  for (const evkeyval *Each = Headers.tqh_first; Each != nullptr;
       Each = Each->next.tqe_next) {
    Copy.push_back({Each->key, Each->value});
  }
  return Copy;
}

void addHeaders(evkeyvalq &Target, std::span<const http_header> Headers) {
  for (const auto &Header : Headers) {
    if (!isFramingHeader(Header.Name)) {
      evhttp_add_header(&Target, Header.Name.c_str(), Header.Value.c_str());
    }
  }
}

std::string takeBody(evbuffer &Buffer) {
  std::string Body(evbuffer_get_length(&Buffer), '\0');
  evbuffer_remove(&Buffer, Body.data(), Body.size());
  return Body;
}

} // namespace geraniumpaddle
