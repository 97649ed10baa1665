#include "core/base/membertable.h"
#include "core/base/error.h"
#include "core/base/types/ids.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;

namespace {

struct ping {
  int Value;
};
struct pong {};

class receiver {
public:
  int onPing(const ping &Message, int Now) { return Message.Value + Now; }
  int onPong(const pong &, int Now) { return -Now; }
};

using message = std::variant<ping, pong>;
using receiver_table = member_table<&receiver::onPing, &receiver::onPong>;

} // namespace

TEST_GROUP(MemberTable){};

TEST(MemberTable, CallsTheMemberOfTheHeldAlternative) {
  receiver Target;
  LONGS_EQUAL(42, receiver_table::dispatch(Target, message{ping{40}}, 2));
  LONGS_EQUAL(-2, receiver_table::dispatch(Target, message{pong{}}, 2));
}

TEST_GROUP(Error){};

TEST(Error, CarriesItsKind) {
  try {
    throw conflict_error("based on version 3");
  } catch (const error &Failure) {
    STRCMP_EQUAL("conflict", std::string(name(Failure.kind())).c_str());
  }
}

TEST_GROUP(Identifier){};

TEST(Identifier, OrdersByName) {
  CHECK(customer_id("a") < customer_id("b"));
  CHECK(customer_id("a") == customer_id(std::string("a")));
}
