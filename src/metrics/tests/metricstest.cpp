#include "metrics/metrics.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <limits>

using namespace geraniumpaddle;

namespace {

constexpr std::array Bounds{1.0, 2.0, 5.0};

} // namespace

TEST_GROUP(Histogram) { histogram Values{Bounds}; };

TEST(Histogram, UpperBoundsAreInclusive) {
  for (const double Value : {-1.0, 0.0, 1.0, 1.5, 2.0, 5.0, 5.1, 1e300}) {
    Values.observe(Value);
  }
  LONGS_EQUAL(3, Values.bucket(0));
  LONGS_EQUAL(2, Values.bucket(1));
  LONGS_EQUAL(1, Values.bucket(2));
  LONGS_EQUAL(2, Values.bucket(3));
  LONGS_EQUAL(8, Values.count());
}

TEST(Histogram, QuantilesAreBucketUpperBounds) {
  for (int Index = 0; Index < 99; ++Index) {
    Values.observe(0.5);
  }
  Values.observe(4);
  DOUBLES_EQUAL(1.0, Values.quantile(0.5), 0);
  DOUBLES_EQUAL(1.0, Values.quantile(0.99), 0);
  DOUBLES_EQUAL(5.0, Values.quantile(1.0), 0);
  Values.observe(9);
  CHECK(Values.quantile(1.0) == std::numeric_limits<double>::infinity());
}

TEST(Histogram, RejectsBoundsThatAreNotAscending) {
  constexpr std::array Same{1.0, 1.0};
  CHECK_THROWS(invalid_argument_error, histogram(Same));
  CHECK_THROWS(invalid_argument_error, histogram(std::span<const double>()));
}

TEST_GROUP(MetricRegistry) { metric_registry Registry; };

TEST(MetricRegistry, RendersThePrometheusTextFormat) {
  Registry.getCounter("gp_calls_total", "Calls.", {{"kind", "a\"b\\c\n"}})
      .add(3);
  Registry.getGauge("gp_load", "Load.").set(0.5);
  auto &Latency =
      Registry.getHistogram("gp_seconds", "Time.", Bounds, {{"path", "/x"}});
  Latency.observe(1.5);
  Latency.observe(7);
  STRCMP_EQUAL("# HELP gp_calls_total Calls.\n"
               "# TYPE gp_calls_total counter\n"
               "gp_calls_total{kind=\"a\\\"b\\\\c\\n\"} 3\n"
               "# HELP gp_load Load.\n"
               "# TYPE gp_load gauge\n"
               "gp_load 0.5\n"
               "# HELP gp_seconds Time.\n"
               "# TYPE gp_seconds histogram\n"
               "gp_seconds_bucket{path=\"/x\",le=\"1\"} 0\n"
               "gp_seconds_bucket{path=\"/x\",le=\"2\"} 1\n"
               "gp_seconds_bucket{path=\"/x\",le=\"5\"} 1\n"
               "gp_seconds_bucket{path=\"/x\",le=\"+Inf\"} 2\n"
               "gp_seconds_sum{path=\"/x\"} 8.5\n"
               "gp_seconds_count{path=\"/x\"} 2\n",
               Registry.render().c_str());
}

TEST(MetricRegistry, SameNameAndLabelsGiveTheSameSeries) {
  counter &First = Registry.getCounter("a", "", {{"x", "1"}});
  CHECK(&First == &Registry.getCounter("a", "", {{"x", "1"}}));
  CHECK(&First != &Registry.getCounter("a", "", {{"x", "2"}}));
}

TEST(MetricRegistry, RunsUpdateCallbacksBeforeRendering) {
  Registry.onRender([this] { Registry.getGauge("late", "").set(2); });
  STRCMP_CONTAINS("late 2\n", Registry.render().c_str());
}

TEST(MetricRegistry, RejectsAnotherTypeAndMalformedNames) {
  Registry.getCounter("a", "");
  CHECK_THROWS(invalid_argument_error, Registry.getGauge("a", ""));
  for (const char *Name : {"", "1a", "a-b", "a b"}) {
    CHECK_THROWS(invalid_argument_error, Registry.getCounter(Name, ""));
  }
}
