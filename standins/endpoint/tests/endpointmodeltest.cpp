#include "standins/endpoint/endpointmodel.h"

#include "core/base/error.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::standins;
using namespace std::chrono_literals;

TEST_GROUP(EndpointModel){};

TEST(EndpointModel, RefusesRequestsBeyondItsSlotsAndCountsRuns) {
  endpoint_model Model(1);
  CHECK(Model.begin("t", 5ms).Accepted);
  CHECK_FALSE(Model.begin("t", 5ms).Accepted);
  Model.finish();
  CHECK(Model.begin("t", 5ms).Accepted);
  LONGS_EQUAL(2, Model.runs().at("t"));
  LONGS_EQUAL(1, Model.refused());
}

TEST(EndpointModel, RefusesRequestsWhileDraining) {
  endpoint_model Model(2);
  CHECK(Model.begin("t", 5ms).Accepted);
  Model.drain();
  CHECK_FALSE(Model.begin("t", 5ms).Accepted);
  CHECK_FALSE(Model.idle());
  Model.finish();
  CHECK(Model.idle());
}

TEST(EndpointModel, AppliesACountedFaultToThatManyRequests) {
  endpoint_model Model(8);
  Model.setFault({endpoint_fault::Slow, 20ms, 1});
  CHECK(Model.begin("t", 5ms).Latency == duration(25ms));
  CHECK(Model.begin("t", 5ms).Latency == duration(5ms));
}

TEST(EndpointModel, DoesNotRunRequestsUnderTheSilentFault) {
  endpoint_model Model(8);
  Model.setFault({endpoint_fault::Silent, {}, 0});
  CHECK(Model.begin("t", 5ms).Fault == endpoint_fault::Silent);
  CHECK(Model.runs().empty());
}

TEST(EndpointModel, ParsesFaultNames) {
  CHECK(parseFault("half_body") == endpoint_fault::HalfBody);
  CHECK_THROWS(invalid_argument_error, parseFault("halfbody"));
}
