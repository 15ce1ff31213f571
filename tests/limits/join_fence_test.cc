#include "components/limits/join_fence.h"

#include <CppUTest/TestHarness.h>

#include "tests/limits/join_simulation.h"
#include "tests/support/times.h"

namespace kingcupstair::limits {
namespace {

TEST_GROUP(JoinFence) {
  JoinFence fence;
};

// Guards against a delayed transfer of the former process that takes effect
// after the new process has begun to use its entry.
TEST(JoinFence, OnlyALaterVersionOfTheSameEraFences) {
  CHECK_FALSE(this->fence.RecordRead({.era = 1, .version = 7}));
  CHECK_FALSE(this->fence.RecordRead({.era = 1, .version = 7}));
  CHECK(this->fence.RecordRead({.era = 1, .version = 8}));
  CHECK_FALSE(this->fence.RecordRead({.era = 2, .version = 9}));
  CHECK(this->fence.RecordRead({.era = 2, .version = 10}));
  this->fence.Reset();
  CHECK_FALSE(this->fence.RecordRead({.era = 2, .version = 11}));
}

// Load pattern: all hosts start within 0.3 s. Each host wrote the table on
// condition that no other host had written since its read, so most writes
// failed and the last host had its share late.
TEST(JoinFence, HostsThatStartTogetherMakeThreeCallsEachAtMost) {
  for (const int hosts : {27, 74, 104, 610}) {
    const JoinResult result = SimulateJoin({.hosts = hosts});
    CHECK(result.store_calls <= 3 * hosts);
    CHECK(result.last_share <= Millis(200));
  }
}

TEST(JoinFence, AHostThatStartsAloneReadsAndWritesOnce) {
  LONGS_EQUAL(2, SimulateJoin({.hosts = 1}).store_calls);
}

}  // namespace
}  // namespace kingcupstair::limits
