#pragma once

#include "core/ledger/ledger.h"
#include "core/ledger/recordappender.h"

#include <functional>

namespace geraniumpaddle {

/// The state of the ledger, and the way to change it: proposals to the log.
class iproposer {
public:
  virtual ~iproposer() = default;

  virtual const ledger &state() const = 0;
  /// True once the log is applied up to the head that it had at the start.
  virtual bool ready() const = 0;
  /// Proposes a record.
  /// \param Done called exactly once: with the verdict after the record was
  /// read back from the log, or with NotRun or Undetermined.
  virtual void propose(const actor_id &Actor, record_body Body,
                       duration Timeout,
                       std::function<void(const proposal_answered &)> Done) = 0;
};

} // namespace geraniumpaddle
