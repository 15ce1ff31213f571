#include "components/retry/hedge_time.h"

#include <CppUTest/TestHarness.h>

#include "tests/support/times.h"

namespace kingcupstair::retry {
namespace {

constexpr int64_t kObjective = 5'000;
constexpr int64_t kRespondBy = 5'500;

Instant HedgeTimeOf(int64_t started) {
  return HedgeTime(At(started), Millis(kObjective), At(kRespondBy));
}

TEST_GROUP(HedgeTime){};

TEST(HedgeTime, AHostThatDoesNotStopHedgesInTheSecondHalfOfTheObjective) {
  CHECK(HedgeTime(At(0), Millis(kObjective), Instant::max()) == At(2'750));
}

// Second attempts of stopped hosts began so late that they were lost as well.
TEST(HedgeTime, AStoppingHostHedgesWhileTheSecondAttemptCanEnd) {
  for (const int64_t started : {0, 500, 1'000, 1'500}) {
    CHECK(At(kRespondBy) - HedgeTimeOf(started) >= Millis(2'750));
  }
}

TEST(HedgeTime, AnAttemptThatHasJustBegunIsNotSuspect) {
  CHECK(HedgeTimeOf(2'700) == At(2'700 + kObjective / 4));
}

TEST(HedgeTime, AnEarlyAttemptIsHedgedAsEver) {
  CHECK(HedgeTimeOf(-1'000) == At(-1'000 + 2'750));
}

}  // namespace
}  // namespace kingcupstair::retry
