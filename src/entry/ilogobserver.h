#pragma once

#include "core/ledger/types/record.h"
#include "core/ledger/types/verdict.h"

namespace geraniumpaddle {

/// Is told what the fold of the log did. All calls come from the loop.
class ifold_observer {
public:
  virtual ~ifold_observer() = default;

  /// \p Record was judged at \p Offset; the ledger shows the state after it.
  virtual void onFolded(log_offset Offset, const record &Record,
                        const verdict &Verdict) = 0;
  /// The whole ledger was replaced by a later state.
  virtual void onStateReplaced() = 0;
  /// A batch of records has been folded.
  virtual void onBatchFolded() {}
};

} // namespace geraniumpaddle
