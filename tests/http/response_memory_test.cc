#include "components/http/response_memory.h"

#include <CppUTest/TestHarness.h>

namespace kingcupstair::http {
namespace {

constexpr size_t kFree = 10;
constexpr size_t kPool = 100;

TEST_GROUP(ResponseMemory) {
  ResponseMemory memory{{.free_bytes = kFree, .pool_bytes = kPool}};
};

TEST(ResponseMemory, SmallResponsesAlwaysFindRoom) {
  CHECK(this->memory.TryGrow(1, 0, kFree + kPool));
  CHECK(this->memory.TryGrow(2, 0, kFree + kPool));
  CHECK(this->memory.TryGrow(3, 0, kFree));
}

TEST(ResponseMemory, OneResponseAtATimeLeavesThePool) {
  CHECK(this->memory.TryGrow(1, 0, kFree + kPool));
  CHECK(this->memory.TryGrow(2, 0, kFree + 1));
  CHECK(this->memory.TryGrow(2, kFree + 1, 10 * kPool));
  CHECK_FALSE(this->memory.TryGrow(3, 0, kFree + 1));
  this->memory.Release(2, 10 * kPool);
  CHECK(this->memory.TryGrow(3, 0, kFree + 1));
}

TEST(ResponseMemory, AResponseThatEndsMakesRoomInThePool) {
  CHECK(this->memory.TryGrow(1, 0, kFree + kPool / 2));
  CHECK(this->memory.TryGrow(2, 0, kFree + kPool / 2));
  this->memory.Release(1, kFree + kPool / 2);
  LONGS_EQUAL(kPool / 2, this->memory.pooled());
  this->memory.Release(2, kFree + kPool / 2);
  LONGS_EQUAL(0, this->memory.pooled());
}

TEST(ResponseMemory, AResponseThatLeftThePoolReturnsWhatItHeldThere) {
  CHECK(this->memory.TryGrow(1, 0, kFree + kPool));
  CHECK(this->memory.TryGrow(1, kFree + kPool, 5 * kPool));
  this->memory.Release(1, 5 * kPool);
  LONGS_EQUAL(0, this->memory.pooled());
}

}  // namespace
}  // namespace kingcupstair::http
