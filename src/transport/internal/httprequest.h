#pragma once

#include "transport/ihttpclient.h"
#include "transport/internal/httpmethod.h"

#include <span>
#include <string>
#include <string_view>

namespace geraniumpaddle {

/// Decoded path of \p Request, without the query; at least "/".
std::string decodedPath(const evhttp_request *Request);

/// Query of \p Request as sent, without the question mark.
std::string_view queryOf(const evhttp_request *Request);

/// True if evhttp and the caller may disagree on the end of a request, in which
/// case evhttp would parse the rest of the body as the next request (request
/// smuggling).
bool isFramingAmbiguous(const http_method &Method,
                        std::span<const http_header> Headers);

} // namespace geraniumpaddle
