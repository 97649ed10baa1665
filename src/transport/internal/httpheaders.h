#pragma once

#include "transport/ihttpclient.h"

#include <event2/event.h>
#include <event2/http.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

struct evbuffer;
struct evkeyvalq;

namespace geraniumpaddle {

/// True if \p Left and \p Right are the same header name.
bool equalNames(std::string_view Left, std::string_view Right);

/// \returns the value of the first header \p Name, or null.
const std::string *findHeader(std::span<const http_header> Headers,
                              std::string_view Name);

std::vector<http_header> copyHeaders(const evkeyvalq &Headers);

/// Adds \p Headers except Content-Length and Transfer-Encoding, which are
/// derived from the body. Malformed headers are skipped.
void addHeaders(evkeyvalq &Target, std::span<const http_header> Headers);

/// Moves the content out of \p Buffer.
std::string takeBody(evbuffer &Buffer);

} // namespace geraniumpaddle
