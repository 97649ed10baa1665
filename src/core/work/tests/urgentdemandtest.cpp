#include "core/work/urgentdemand.h"
#include "core/work/tests/workbuilders.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;
using namespace std::chrono_literals;

TEST_GROUP(UrgentDemand) {
  urgent_demand Demand;
  time_point Now{std::chrono::hours(1)};

  void arrive(std::uint32_t Count, std::int32_t Accelerators) {
    Demand.arrived(work::testing::makeJob("j", Count, Accelerators), Now);
  }
};

TEST(UrgentDemand, KeepsNothingWithoutUrgentJobs) {
  CHECK(!Demand.roomToKeep(Now));
}

TEST(UrgentDemand, KeepsRoomForMostOfTheLastJobs) {
  arrive(1, 1);
  arrive(1, 2);
  arrive(2, 8);
  arrive(4, 8);
  arrive(1, 4);
  const auto Shape = Demand.roomToKeep(Now);
  LONGS_EQUAL(2, Shape->Step.Count);
  LONGS_EQUAL(8, Shape->Step.Need.Accelerators);
}

TEST(UrgentDemand, ForgetsJobsThatCameLongAgo) {
  arrive(2, 8);
  CHECK(!Demand.roomToKeep(Now + 11s));
}
