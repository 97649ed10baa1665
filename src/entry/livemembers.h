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

/// Assigns work to the live entries by hashing. All entries agree as long as
/// they see the same entries alive. While they do not, work may be done twice,
/// and every use must tolerate that.
class live_members final : public iattempt_owner {
public:
  explicit live_members(const entry_rank &Rank, node_id Self)
      : Rank(Rank), Self(std::move(Self)) {}

  bool owns(fencing_token Token) const override;
  /// Whether this entry owns an agent, that is, acts on its state. Agents send
  /// heartbeats only to the entries of their own region, so the owner is one of
  /// these, or any entry if none of these is alive.
  bool ownsAgent(const node_id &Agent, const region_id &Region) const;
  /// Whether this entry considers the entry \p Node alive.
  bool isLive(const node_id &Node) const;

private:
  static constexpr std::uint64_t HashMultiplier = 0x9e3779b97f4a7c15U;

  const entry_rank &Rank;
  const node_id Self;
};

} // namespace geraniumpaddle
