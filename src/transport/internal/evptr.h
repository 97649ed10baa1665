#pragma once

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <memory>

namespace geraniumpaddle {

/// Deleter that frees a libevent object with \p Free.
template <auto Free> struct ev_free {
  template <typename Object> void operator()(Object *Pointer) const {
    Free(Pointer);
  }
};

using event_ptr = std::unique_ptr<event, ev_free<&event_free>>;
using evbuffer_ptr = std::unique_ptr<evbuffer, ev_free<&evbuffer_free>>;
using evhttp_ptr = std::unique_ptr<evhttp, ev_free<&evhttp_free>>;

} // namespace geraniumpaddle
