#pragma once

#include "platform/types/storecalls.h"

#include <functional>

namespace geraniumpaddle {

/// Carries calls to the store: straight, or over another entry.
class istore_transport {
public:
  virtual ~istore_transport() = default;

  /// Calls \p Done exactly once, from the loop.
  virtual void call(store_request Request,
                    std::function<void(const store_reply &)> Done) = 0;
};

} // namespace geraniumpaddle
