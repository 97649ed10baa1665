#pragma once

#include "core/base/types/ids.h"

namespace geraniumpaddle {

/// Decides which attempts this entry supervises; they are divided among the
/// live entries.
class iattempt_owner {
public:
  virtual ~iattempt_owner() = default;

  virtual bool owns(fencing_token Token) const = 0;
};

} // namespace geraniumpaddle
