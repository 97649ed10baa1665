#pragma once

#include "platform/types/storecalls.h"

#include <functional>

namespace geraniumpaddle {

/// Sends calls to the store, directly or through another entry.
class istore_transport {
public:
  virtual ~istore_transport() = default;

  /// Calls \p Done exactly once, from the event loop.
  virtual void call(store_request Request,
                    std::function<void(const store_reply &)> Done) = 0;
};

} // namespace geraniumpaddle
