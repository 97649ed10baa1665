#include "core/work/urgentdemand.h"
#include "core/work/tests/workbuilders.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;
using namespace std::chrono_literals;

TEST_GROUP(UrgentDemand) {
  urgent_demand Demand;
  time_point Now{std::chrono::hours(1)};

  void submitUrgent(std::uint32_t Count, std::int32_t Accelerators) {
    Demand.recordArrival(work::testing::makeJob("j", Count, Accelerators), Now);
  }
};

TEST(UrgentDemand, ReservesNothingWithoutUrgentJobs) {
  CHECK(!Demand.capacityToReserve(Now));
}

TEST(UrgentDemand, ReservesCapacityForMostRecentJobs) {
  submitUrgent(1, 1);
  submitUrgent(1, 2);
  submitUrgent(2, 8);
  submitUrgent(4, 8);
  submitUrgent(1, 4);
  const auto Shape = Demand.capacityToReserve(Now);
  LONGS_EQUAL(2, Shape->Step.Count);
  LONGS_EQUAL(8, Shape->Step.Need.Accelerators);
}

TEST(UrgentDemand, IgnoresJobsThatArrivedLongAgo) {
  submitUrgent(2, 8);
  CHECK(!Demand.capacityToReserve(Now + 11s));
}
