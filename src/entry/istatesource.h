#pragma once

#include "core/base/types/ids.h"

#include <functional>
#include <string>

namespace geraniumpaddle {

/// Source of a complete state for when the log no longer has the records.
class istate_source {
public:
  virtual ~istate_source() = default;

  /// Fetches an encoded ledger image that covers offsets after \p Beyond from
  /// the peers. \param Done called once, with an empty string if there is none.
  virtual void fetch(log_offset Beyond,
                     std::function<void(const std::string &)> Done) = 0;
};

} // namespace geraniumpaddle
