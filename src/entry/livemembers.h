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

  bool owns(fencing_token Token) const override;
  /// Whether this entry looks after an agent. Agents send heartbeats to the
  /// entries of their own region only, so one of these does; any entry may if
  /// none of them lives.
  bool ownsAgent(const node_id &Agent, const region_id &Region) const;
  /// Whether the entry of that name is alive, as seen here.
  bool isLive(const node_id &Node) const;

private:
  static constexpr std::uint64_t MixingFactor = 0x9e3779b97f4a7c15U;

  const entry_rank &Rank;
  const node_id Self;
};

} // namespace geraniumpaddle
