#include "components/logging/line_budget.h"

#include <CppUTest/TestHarness.h>

#include "tests/support/times.h"

namespace kingcupstair::logging {
namespace {

TEST_GROUP(LineBudget){};

// Load pattern: one kind of line comes thousands of times a second.
TEST(LineBudget, AStormOfOneKindLeavesTheOthersAloneAndIsCounted) {
  LineBudget budget({.lines_per_second = 10});
  uint64_t left_out = 0;
  int written = 0;
  for (int i = 0; i < 1'000; ++i) {
    written += budget.Take("storm", At(i / 2), left_out) ? 1 : 0;
  }
  LONGS_EQUAL(10, written);
  CHECK(budget.Take("other", At(500), left_out));
  LONGS_EQUAL(0, left_out);
  CHECK(budget.Take("storm", At(1'600), left_out));
  LONGS_EQUAL(990, left_out);
}

}  // namespace
}  // namespace kingcupstair::logging
