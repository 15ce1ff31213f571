#include "components/membership/incarnation.h"

#include <CppUTest/TestHarness.h>

#include "tests/support/times.h"

namespace kingcupstair::membership {
namespace {

TEST_GROUP(Incarnation){};

TEST(Incarnation, IncreasesWithTheStartWhateverTheRandomBits) {
  CHECK(MakeIncarnation(2, 0) > MakeIncarnation(1, ~0ULL));
  CHECK(MakeIncarnation(1, 1) != MakeIncarnation(1, 2));
}

TEST(Incarnation, TellsHowMuchEarlierAProcessStarted) {
  const uint64_t former = MakeIncarnation(1'000, 7);
  CHECK(Millis(500) == StartedBefore(former, MakeIncarnation(1'500, 3)));
  CHECK(Millis(-500) == StartedBefore(MakeIncarnation(1'500, 3), former));
}

}  // namespace
}  // namespace kingcupstair::membership
