#include "core/routing/customeradmission.h"
#include "core/routing/limitshares.h"

#include <numeric>
#include <rapidcheck.h>

// After rapidcheck.h, whose templates do not compile with its macro for new.
#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace std::chrono_literals;

namespace {

constexpr duration RaiseDelay = 2s;
const customer_id Customer("c");

std::vector<customer_config> limited(double Rate, int Burst, int InFlight) {
  customer_config Config;
  Config.Id = Customer;
  Config.Limits = {Rate, Burst, InFlight};
  return {Config};
}

int admitAll(customer_admission &Entry, time_point Now, int Wanted) {
  int Admitted = 0;
  for (int I = 0; I < Wanted; ++I)
    Admitted += Entry.admit(Customer, Now) == not_run_reason::None ? 1 : 0;
  return Admitted;
}

/// Two entries that exchange their demand once per second.
struct two_entries {
  customer_admission One{node_id("e1"), RaiseDelay};
  customer_admission Two{node_id("e2"), RaiseDelay};
  time_point Now{100s};

  explicit two_entries(const std::vector<customer_config> &Customers) {
    One.configure(Customers, Now);
    Two.configure(Customers, Now);
    exchange(1);
  }
  void exchange(int Seconds) {
    for (int I = 0; I < Seconds; ++I) {
      Now += 1s;
      const auto FromOne = One.publishDemand(Now);
      const auto FromTwo = Two.publishDemand(Now);
      One.setPeerDemand(node_id("e2"), FromTwo, Now);
      Two.setPeerDemand(node_id("e1"), FromOne, Now);
    }
  }
};

} // namespace

TEST_GROUP(CustomerAdmission){};

TEST(CustomerAdmission, SplitsEvenlyWithoutDemand) {
  two_entries Entries(limited(0, 0, 8));
  LONGS_EQUAL(4, admitAll(Entries.One, Entries.Now, 10));
  LONGS_EQUAL(4, admitAll(Entries.Two, Entries.Now, 10));
}

TEST(CustomerAdmission, ShiftsSharesToDemandWithoutExceedingTheLimit) {
  two_entries Entries(limited(0, 0, 8));
  int InFlight = 0;
  for (int Round = 0; Round < 10; ++Round) {
    InFlight += admitAll(Entries.One, Entries.Now, 20);
    CHECK(InFlight <= 8);
    Entries.exchange(1);
  }
  CHECK(InFlight >= 7);
  LONGS_EQUAL(8 - InFlight, admitAll(Entries.Two, Entries.Now, 20));
}

TEST(CustomerAdmission, RedistributesTheShareOfALostEntryAfterTheRaiseDelay) {
  two_entries Entries(limited(0, 0, 8));
  LONGS_EQUAL(4, admitAll(Entries.One, Entries.Now, 10));
  Entries.One.dropPeer(node_id("e2"), Entries.Now);
  LONGS_EQUAL(0, admitAll(Entries.One, Entries.Now + RaiseDelay - 1us, 10));
  LONGS_EQUAL(4, admitAll(Entries.One, Entries.Now + RaiseDelay, 10));
}

TEST(CustomerAdmission, LimitsTheCombinedRateOfAllEntries) {
  two_entries Entries(limited(100, 10, 0));
  int Admitted = 0;
  for (int Second = 0; Second < 10; ++Second) {
    for (int Step = 0; Step < 100; ++Step) {
      const time_point At = Entries.Now + Step * 10ms;
      Admitted += admitAll(Entries.One, At, 4);
      Admitted += admitAll(Entries.Two, At, 1);
    }
    Entries.exchange(1);
  }
  CHECK(Admitted <= 100 * 10 + 10);
  CHECK(Admitted >= 900);
}

TEST(CustomerAdmission, RefusesUnknownCustomers) {
  customer_admission Entry(node_id("e1"), RaiseDelay);
  CHECK(Entry.admit(Customer, time_point{1s}) ==
        not_run_reason::UnknownCustomer);
  Entry.configure(limited(0, 0, 0), time_point{1s});
  LONGS_EQUAL(100, admitAll(Entry, time_point{1s}, 100));
}

TEST(CustomerAdmission, LowersALimitAtOnce) {
  customer_admission Entry(node_id("e1"), RaiseDelay);
  Entry.configure(limited(0, 0, 8), time_point{1s});
  Entry.configure(limited(0, 0, 2), time_point{1s});
  LONGS_EQUAL(2, admitAll(Entry, time_point{1s}, 10));
}

TEST(CustomerAdmission, SharesAddUpToTheLimit) {
  CHECK(rc::check("shares add up to the limit", [] {
    const auto Limit = *rc::gen::inRange<std::uint32_t>(0, 1000);
    const auto Demand =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<double>>(rc::gen::map(
            rc::gen::inRange(0, 500), [](int N) { return double(N); })));
    const auto Shares = countShares(Limit, Demand);
    RC_ASSERT(std::accumulate(Shares.begin(), Shares.end(), 0U) == Limit);
  }));
}
