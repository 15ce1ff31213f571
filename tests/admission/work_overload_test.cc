#include "tests/admission/work_overload.h"

#include <CppUTest/TestHarness.h>

namespace kingcupstair::admission {
namespace {

TEST_GROUP(WorkOverload){};

// Overload with mixed classes: slots were given to requests that ended late,
// organisations inside their share were refused, and callers that came back as
// told were refused again.
TEST(WorkOverload, OneAndAHalfTimesTheCapacity) {
  for (const uint64_t seed : {1U, 2U, 3U}) {
    const Figures figures = PlayWorkOverload(seed);
    CHECK(figures.goodput >= 0.95);
    CHECK(figures.served.at("a") >= 0.9);
    CHECK(figures.served.at("b") >= 0.9);
    CHECK(figures.served_second_time >= 0.9);
  }
}

}  // namespace
}  // namespace kingcupstair::admission
