#pragma once

#include <string>
#include <string_view>

namespace geraniumpaddle {

/// Salted hash of a customer's token, as "pbkdf2-sha256$ROUNDS$SALT$HASH" with
/// salt and hash in hexadecimal. The salt comes from OpenSSL's random
/// generator. \throws internal_error if the cryptographic library fails.
std::string hashToken(std::string_view Token);

/// True if \p Token matches \p Hash; compares in constant time. False if the
/// hash is malformed.
bool verifyToken(std::string_view Token, std::string_view Hash);

} // namespace geraniumpaddle
