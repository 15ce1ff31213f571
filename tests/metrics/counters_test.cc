#include "components/metrics/counters.h"

#include <CppUTest/TestHarness.h>

#include "tests/support/times.h"

namespace kingcupstair::metrics {
namespace {

TEST_GROUP(Counters){};

TEST(Counters, CountsADurationInEveryBucketWithAnUpperBoundAboveIt) {
  Counters counters;
  counters.Observe("wait", {{.name = "service", .value = "lote"}}, Millis(40));
  counters.Observe("wait", {{.name = "service", .value = "lote"}}, Millis(400));
  const auto bucket = [&](const char* bound) {
    return counters.Value(
        "wait_ms_bucket",
        {{.name = "service", .value = "lote"}, {.name = "le", .value = bound}});
  };
  LONGS_EQUAL(0, bucket("25"));
  LONGS_EQUAL(1, bucket("50"));
  LONGS_EQUAL(2, bucket("500"));
  LONGS_EQUAL(2, bucket("+Inf"));
}

}  // namespace
}  // namespace kingcupstair::metrics
