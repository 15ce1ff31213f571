#include "tests/admission/work_overload.h"

#include <CppUTest/TestHarness.h>

namespace kingcupstair::admission {
namespace {

TEST_GROUP(WorkRefusals){};

// A caller that is refused after a wait has less time left to go elsewhere.
TEST(WorkRefusals, RefusalsAreKnownWithin50Ms) {
  DOUBLES_EQUAL(1, PlayWorkOverload(1).refused_within_50_ms, 0);
}

}  // namespace
}  // namespace kingcupstair::admission
