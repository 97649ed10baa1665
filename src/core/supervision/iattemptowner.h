#pragma once

#include "core/base/types/ids.h"

namespace geraniumpaddle {

/// Tells which attempts this entry looks after; the live entries share them.
class iattempt_owner {
public:
  virtual ~iattempt_owner() = default;

  virtual bool owns(fencing_token Token) const = 0;
};

} // namespace geraniumpaddle
