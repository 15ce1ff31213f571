#include "components/membership/stop_schedule.h"

#include <CppUTest/TestHarness.h>

#include "tests/support/times.h"

namespace kingcupstair::membership {
namespace {

TEST_GROUP(StopSchedule){};

// A stopped host held responses until it was killed, and they were lost.
TEST(StopSchedule, ResponsesAndTheEndComeBeforeTheKill) {
  for (const int64_t grace : {400, 2'000, 6'000, 10'000, 90'000}) {
    for (const int64_t accept : {0, 2'000, 60'000}) {
      const StopSchedule::Options options{.grace = Millis(grace),
                                          .accept_time = Millis(accept)};
      const StopSchedule schedule = MakeStopSchedule(options, At(0));
      CHECK(At(0) <= schedule.accept_until);
      CHECK(schedule.accept_until < schedule.refuse_from);
      CHECK(schedule.respond_by < schedule.exit_by);
      CHECK(schedule.exit_by < At(grace));
    }
  }
}

// None is passed on later than its upstream can be waited for.
TEST(StopSchedule, RequestsAreRefusedBeforeTheLastResponses) {
  for (const int64_t grace : {100, 400, 500, 600, 1'000, 2'000, 6'000}) {
    const StopSchedule schedule =
        MakeStopSchedule({.grace = Millis(grace)}, At(0));
    CHECK(schedule.refuse_from < schedule.respond_by);
  }
}

TEST(StopSchedule, AnUpstreamAtWorkGetsMostOfTheGrace) {
  const StopSchedule schedule =
      MakeStopSchedule({.grace = Millis(6'000)}, At(0));
  CHECK(schedule.respond_by >= At(5'000));
}

TEST(StopSchedule, HalfOfAShortGraceIsLeftForTheRequests) {
  const StopSchedule schedule = MakeStopSchedule(
      {.grace = Millis(2'000), .accept_time = Millis(2'500)}, At(0));
  CHECK(schedule.accept_until == At(1'000));
}

TEST(StopSchedule, AHostThatWasNotToldToStopHasNoEnd) {
  CHECK(StopSchedule{}.respond_by == Instant::max());
}

}  // namespace
}  // namespace kingcupstair::membership
