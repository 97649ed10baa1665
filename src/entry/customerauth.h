#pragma once

#include "core/base/types/ids.h"
#include "core/ledger/ledger.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace geraniumpaddle {

/// The kind of caller that a token was verified for.
enum class caller_kind : std::uint8_t { Unauthenticated, Customer, Operator };

struct caller_identity {
  caller_kind Kind = caller_kind::Unauthenticated;
  customer_id Customer; ///< set for customers only
};

/// Authenticates callers by their tokens. Verifying a token against its hash is
/// deliberately slow, so the result is cached for each pair of token and hash.
class customer_auth {
public:
  static constexpr std::size_t MaxCachedTokens = 4096;
  /// Failed verifications are as slow as successful ones and are cached too.
  explicit customer_auth(std::string OperatorTokenHash)
      : OperatorTokenHash(std::move(OperatorTokenHash)) {}

  /// \param Token the token that the caller sent.
  /// \param ClaimedCustomer the customer that the caller claims to be.
  caller_identity identify(std::string_view Token,
                           const customer_id &ClaimedCustomer,
                           const ledger &State);
  /// True for the operators' token, and for any caller if none is configured.
  bool isOperator(std::string_view Token);

private:
  bool matches(std::string_view Token, const std::string &Hash);

  const std::string OperatorTokenHash;
  /// Verification results by hash and token; cleared when it is full.
  std::unordered_map<std::string, bool> CachedResults;
};

} // namespace geraniumpaddle
