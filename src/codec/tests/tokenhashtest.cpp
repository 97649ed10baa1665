#include "codec/tokenhash.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;

TEST_GROUP(TokenHash){};

TEST(TokenHash, VerifiesOnlyTheHashedToken) {
  std::string Hash = hashToken("secret");
  CHECK(verifyToken("secret", Hash));
  CHECK(!verifyToken("Secret", Hash));
  CHECK(!verifyToken("", Hash));
}

TEST(TokenHash, EachHashHasItsOwnSalt) {
  CHECK(hashToken("secret") != hashToken("secret"));
}

TEST(TokenHash, MalformedHashesMatchNothing) {
  const std::string Hash = hashToken("secret");
  const std::string Cases[] = {
      "",
      "secret",
      "pbkdf2-sha256$1000",
      Hash.substr(0, Hash.size() - 1),
      Hash + "0",
      "x" + Hash,
      "pbkdf2-sha256$0" + Hash.substr(Hash.find('$', 15)),
      "pbkdf2-sha256$-1" + Hash.substr(Hash.find('$', 15)),
      "pbkdf2-sha256$999999999" + Hash.substr(Hash.find('$', 15)),
  };
  for (const std::string &Case : Cases)
    CHECK(!verifyToken("secret", Case));
}
