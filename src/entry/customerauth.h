#pragma once

#include "core/base/types/ids.h"
#include "core/ledger/ledger.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace geraniumpaddle {

/// Who makes a call.
enum class caller_kind : std::uint8_t { Nobody, Customer, Operator };

struct caller_identity {
  caller_kind Kind = caller_kind::Nobody;
  customer_id Customer; ///< only of a customer
};

/// Tells callers apart by their tokens. The slow hash of a token is checked
/// once for each version of the configuration; after that its result is kept.
class customer_auth {
public:
  static constexpr std::size_t MaxKnownTokens = 4096;
  /// Each failed check costs a slow hash, so a token that failed is kept too.
  explicit customer_auth(std::string OperatorTokenHash)
      : OperatorTokenHash(std::move(OperatorTokenHash)) {}

  /// \param Token as sent by the caller; \param Claimed customer it names.
  caller_identity identify(std::string_view Token, const customer_id &Claimed,
                           const ledger &State);
  /// True for the operators' token, and for anybody if none is configured.
  bool isOperator(std::string_view Token);

private:
  bool matches(std::string_view Token, const std::string &Hash);

  const std::string OperatorTokenHash;
  /// By hash and token; bounded, emptied when it is full.
  std::unordered_map<std::string, bool> Known;
};

} // namespace geraniumpaddle
