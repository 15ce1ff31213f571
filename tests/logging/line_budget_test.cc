#include "components/logging/line_budget.h"

#include <CppUTest/TestHarness.h>

#include "tests/support/times.h"

namespace kingcupstair::logging {
namespace {

TEST_GROUP(LineBudget){};

// Guards against a burst of one kind that displaces the lines of other kinds.
// Load pattern: one kind of line is written 2000 times a second.
TEST(LineBudget, ABurstOfOneKindIsLimitedAndCountedAndLeavesOtherKindsAlone) {
  LineBudget budget({.lines_per_second = 10});
  uint64_t suppressed = 0;
  int written = 0;
  for (int i = 0; i < 1'000; ++i) {
    written += budget.Take("storm", At(i / 2), suppressed) ? 1 : 0;
  }
  LONGS_EQUAL(10, written);
  CHECK(budget.Take("other", At(500), suppressed));
  LONGS_EQUAL(0, suppressed);
  CHECK(budget.Take("storm", At(1'600), suppressed));
  LONGS_EQUAL(990, suppressed);
}

}  // namespace
}  // namespace kingcupstair::logging
