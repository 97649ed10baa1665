#pragma once

#include "core/base/types/ids.h"
#include "core/ledger/ledger.h"
#include "core/membership/entryrank.h"
#include "core/supervision/iattemptowner.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace geraniumpaddle {

/// Shares work among the live entries by hashing; all of them agree as long as
/// they see the same entries alive. Where they do not, work is done twice,
/// which every use of this allows for.
class live_members final : public iattempt_owner {
public:
  explicit live_members(const entry_rank &Rank, node_id Self)
      : Rank(Rank), Self(std::move(Self)) {}

  bool owns(fencing_token Token) const override {
    return isOwner(raw(Token) * MixingFactor);
  }
  /// Whether this entry looks after the node of that name.
  bool ownsNode(const node_id &Node) const {
    return isOwner(std::hash<node_id>{}(Node)*MixingFactor);
  }
  /// Whether the entry of that name is alive, as seen here.
  bool isLive(const node_id &Node) const;

private:
  static constexpr std::uint64_t MixingFactor = 0x9e3779b97f4a7c15U;

  bool isOwner(std::uint64_t Hash) const;

  const entry_rank &Rank;
  const node_id Self;
};

} // namespace geraniumpaddle
