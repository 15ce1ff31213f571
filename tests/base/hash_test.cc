#include "components/base/hash.h"

#include <CppUTest/TestHarness.h>

namespace kingcupstair {
namespace {

TEST_GROUP(StableHash){};

// Hosts of different versions compare hashes of requests.
TEST(StableHash, OfSeveralTextsIsThatOfTheWhole) {
  CHECK_EQUAL(StableHash("growers\nPOST\n/lote\nbody"),
              StableHash({"growers", "\n", "POST", "\n", "/lote\n", "body"}));
}

}  // namespace
}  // namespace kingcupstair
