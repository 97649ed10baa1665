#include "transport/internal/httprequest.h"

#include "transport/internal/httpheaders.h"

#include <algorithm>
#include <cstdlib>
#include <memory>

namespace geraniumpaddle {

namespace {

struct free_uri_text {
  void operator()(char *Text) const { free(Text); }
};

} // namespace

std::string decodedPath(const evhttp_request *Request) {
  const evhttp_uri *Uri = evhttp_request_get_evhttp_uri(Request);
  const char *Path = Uri == nullptr ? nullptr : evhttp_uri_get_path(Uri);
  if (Path == nullptr || *Path == '\0') {
    return "/";
  }
  std::size_t Size = 0;
  const std::unique_ptr<char, free_uri_text> Text(
      evhttp_uridecode(Path, /*decode_plus=*/0, &Size));
  return {Text.get(), Size};
}

std::string_view queryOf(const evhttp_request *Request) {
  const evhttp_uri *Uri = evhttp_request_get_evhttp_uri(Request);
  const char *Query = Uri == nullptr ? nullptr : evhttp_uri_get_query(Uri);
  return Query == nullptr ? std::string_view() : std::string_view(Query);
}

bool isFramingAmbiguous(const http_method &Method,
                        std::span<const http_header> Headers) {
  const std::string *Length = findHeader(Headers, "Content-Length");
  const bool Chunked = findHeader(Headers, "Transfer-Encoding") != nullptr;
  if (!Method.HasBody) {
    return Chunked || (Length != nullptr && *Length != "0");
  }
  const auto Lengths = std::count_if(
      Headers.begin(), Headers.end(), [](const http_header &Header) {
        return equalNames(Header.Name, "Content-Length");
      });
  return (Chunked && Length != nullptr) || Lengths > 1;
}

} // namespace geraniumpaddle
