#include "codec/tokenhash.h"
#include "core/base/error.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <optional>

namespace geraniumpaddle {

namespace {

constexpr std::string_view Scheme = "pbkdf2-sha256";
/// Few rounds are enough because tokens are long random strings, not passwords;
/// verification runs on the thread of the event loop and must be short.
constexpr int Rounds = 1'000;
constexpr int MaxRounds = 100'000;
constexpr std::size_t SaltBytes = 16;
constexpr std::size_t HashBytes = 32;

using salt = std::array<unsigned char, SaltBytes>;
using digest = std::array<unsigned char, HashBytes>;

struct stored_hash {
  int Rounds = 0;
  salt Salt{};
  digest Digest{};
};

digest derive(std::string_view Token, const salt &Salt, int Rounds) {
  digest Digest{};
  if (PKCS5_PBKDF2_HMAC(Token.data(), static_cast<int>(Token.size()),
                        Salt.data(), static_cast<int>(Salt.size()), Rounds,
                        EVP_sha256(), static_cast<int>(Digest.size()),
                        Digest.data()) != 1)
    throw internal_error("token hash: key derivation failed");
  return Digest;
}

template <std::size_t Size>
std::string toHex(const std::array<unsigned char, Size> &Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  for (unsigned char Byte : Bytes) {
    Text += Digits[Byte >> 4U];
    Text += Digits[Byte & 0xFU];
  }
  return Text;
}

template <std::size_t Size>
bool fromHex(std::string_view Text, std::array<unsigned char, Size> &Bytes) {
  if (Text.size() != 2 * Size)
    return false;
  for (std::size_t Index = 0; Index < Size; ++Index) {
    const char *First = Text.data() + 2 * Index;
    auto Result = std::from_chars(First, First + 2, Bytes[Index], 16);
    if (Result.ec != std::errc() || Result.ptr != First + 2)
      return false;
  }
  return true;
}

/// Removes the text up to the next '$' from the front of \p Text and returns
/// it.
std::string_view takeField(std::string_view &Text) {
  const std::size_t End = Text.find('$');
  const std::string_view Field = Text.substr(0, End);
  Text.remove_prefix(End == std::string_view::npos ? Text.size() : End + 1);
  return Field;
}

std::optional<stored_hash> parse(std::string_view Text) {
  stored_hash Stored;
  if (takeField(Text) != Scheme)
    return std::nullopt;
  const std::string_view Count = takeField(Text);
  auto Result =
      std::from_chars(Count.data(), Count.data() + Count.size(), Stored.Rounds);
  if (Result.ec != std::errc() || Result.ptr != Count.data() + Count.size() ||
      Stored.Rounds < 1 || Stored.Rounds > MaxRounds)
    return std::nullopt;
  if (!fromHex(takeField(Text), Stored.Salt) || !fromHex(Text, Stored.Digest))
    return std::nullopt;
  return Stored;
}

} // namespace

std::string hashToken(std::string_view Token) {
  salt Salt{};
  if (RAND_bytes(Salt.data(), static_cast<int>(Salt.size())) != 1)
    throw internal_error("token hash: random generator failed");
  const digest Digest = derive(Token, Salt, Rounds);
  return std::string(Scheme) + "$" + std::to_string(Rounds) + "$" +
         toHex(Salt) + "$" + toHex(Digest);
}

bool verifyToken(std::string_view Token, std::string_view Hash) {
  const std::optional<stored_hash> Stored = parse(Hash);
  if (!Stored)
    return false;
  const digest Digest = derive(Token, Stored->Salt, Stored->Rounds);
  return CRYPTO_memcmp(Digest.data(), Stored->Digest.data(), Digest.size()) ==
         0;
}

} // namespace geraniumpaddle
