#pragma once

#include "core/base/types/ids.h"

#include <functional>
#include <string>

namespace geraniumpaddle {

/// Where an entry gets a whole state while the log cannot give it.
class istate_source {
public:
  virtual ~istate_source() = default;

  /// Asks the peers for an encoded ledger image that covers more than
  /// \p Beyond. \param Done called once, with an empty text if there is none.
  virtual void fetch(log_offset Beyond,
                     std::function<void(const std::string &)> Done) = 0;
};

} // namespace geraniumpaddle
