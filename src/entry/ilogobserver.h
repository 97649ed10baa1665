#pragma once

#include "core/ledger/types/record.h"
#include "core/ledger/types/verdict.h"

namespace geraniumpaddle {

/// Is notified when the ledger changes. All calls come from the event loop.
class ilog_observer {
public:
  virtual ~ilog_observer() = default;

  /// The ledger has processed \p Record at \p Offset and shows the state after
  /// it. \p Verdict says whether the record was accepted or rejected.
  virtual void onRecordApplied(log_offset Offset, const record &Record,
                               const verdict &Verdict) = 0;
  /// The whole ledger was replaced by a newer state.
  virtual void onStateReplaced() = 0;
  /// A batch of records has been applied.
  virtual void onBatchApplied() {}
};

} // namespace geraniumpaddle
