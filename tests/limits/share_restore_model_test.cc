#include <CppUTest/TestHarness.h>

#include <cstdlib>

#include "tests/limits/share_restore_model.h"

namespace kingcupstair::limits {
namespace {

constexpr int kDepth = 12;

/// Returns the depth of the exploration; SHARE_MODEL_DEPTH sets a larger one.
int Depth() {
  const char* text = std::getenv("SHARE_MODEL_DEPTH");
  return text == nullptr ? kDepth : std::atoi(text);
}

TEST_GROUP(ShareRestoreModel){};

TEST(ShareRestoreModel, HostsNeverHoldMoreThanTheWhole) {
  const auto result = ExploreShareRestore({}, Depth());
  CHECK_FALSE(result.exceeds_whole);
  CHECK(result.states > 1'000);
}

// A giver that restarts finds in the restored table what it gave away. Others
// raise their shares before all have lowered theirs. A delayed write of the
// former era finds the version that it expects. A host that starts uses its
// entry while a transfer of its former process can still reach the store.
TEST(ShareRestoreModel, WithoutOneOfTheRulesTheWholeIsExceeded) {
  CHECK(ExploreShareRestore({.falls_back = false}, Depth()).exceeds_whole);
  CHECK(ExploreShareRestore({.waits = false}, Depth()).exceeds_whole);
  CHECK(ExploreShareRestore({.era_tables = false}, Depth()).exceeds_whole);
  CHECK(ExploreShareRestore({.joins_by_later_version = false}, Depth())
            .exceeds_whole);
}

}  // namespace
}  // namespace kingcupstair::limits
