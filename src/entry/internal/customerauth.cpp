#include "entry/customerauth.h"

#include "codec/tokenhash.h"

namespace geraniumpaddle {

bool customer_auth::matches(std::string_view Token, const std::string &Hash) {
  std::string Key = Hash + '\0' + std::string(Token);
  auto Found = CachedResults.find(Key);
  if (Found != CachedResults.end())
    return Found->second;
  if (CachedResults.size() >= MaxCachedTokens)
    CachedResults.clear();
  return CachedResults.emplace(std::move(Key), verifyToken(Token, Hash))
      .first->second;
}

bool customer_auth::isOperator(std::string_view Token) {
  if (OperatorTokenHash.empty())
    return true;
  return !Token.empty() && matches(Token, OperatorTokenHash);
}

caller_identity customer_auth::identify(std::string_view Token,
                                        const customer_id &ClaimedCustomer,
                                        const ledger &State) {
  const customer_entry *Customer = State.customer(ClaimedCustomer);
  bool Verified = Customer && !Token.empty() &&
                  !Customer->Config.TokenHash.empty() &&
                  matches(Token, Customer->Config.TokenHash);
  if (!Verified)
    return {};
  return {caller_kind::Customer, ClaimedCustomer};
}

} // namespace geraniumpaddle
