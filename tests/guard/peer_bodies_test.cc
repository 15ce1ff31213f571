#include "components/guard/peer_bodies.h"

#include <CppUTest/TestHarness.h>

#include <limits>

#include "tests/support/times.h"

namespace kingcupstair::guard {
namespace {

constexpr size_t kMegabyte = 1'000'000;

TEST_GROUP(PeerBodies) {
  size_t own_bytes = 0;
  PeerBodies bodies{{.max_bytes = 10 * kMegabyte,
                     .own_bytes = [this] { return this->own_bytes; }}};

  bool TryHold(const char* id, size_t megabytes) {
    return this->bodies.TryHold(id, megabytes * kMegabyte, At(1'000));
  }
};

TEST(PeerBodies, HoldNoMoreThanTheirMemoryTogether) {
  CHECK(this->TryHold("a", 5));
  CHECK(this->TryHold("b", 5));
  CHECK_FALSE(this->TryHold("c", 1));
  this->bodies.Drop("a");
  CHECK(this->TryHold("c", 1));
  UNSIGNED_LONGS_EQUAL(6 * kMegabyte, this->bodies.used());
}

TEST(PeerBodies, CountTheMessagesOfCallersAndUpstreams) {
  this->own_bytes = 6 * kMegabyte;
  CHECK(this->TryHold("a", 4));
  CHECK_FALSE(this->TryHold("b", 4));
  this->own_bytes = 0;
  CHECK(this->TryHold("b", 4));
}

TEST(PeerBodies, LetASingleBodyOfAnySizePass) {
  this->own_bytes = 10 * kMegabyte;
  CHECK(this->TryHold("a", 20));
  CHECK_FALSE(this->TryHold("b", 1));
}

// Guards against a length stated by another host that overflows the sum, which
// then let all others pass.
TEST(PeerBodies, BearAnyStatedLength) {
  constexpr size_t kLongest = std::numeric_limits<size_t>::max();
  CHECK(this->TryHold("a", 1));
  CHECK_FALSE(this->bodies.TryHold("b", kLongest, At(1'000)));
  this->bodies.Drop("a");
  CHECK(this->bodies.TryHold("b", kLongest, At(1'000)));
  this->own_bytes = 1;
  CHECK_FALSE(this->TryHold("c", 1));
  this->bodies.Drop("b");
  CHECK(this->TryHold("c", 1));
}

TEST(PeerBodies, GiveMemoryInTheOrderInWhichAttemptsBeganToWait) {
  CHECK(this->TryHold("a", 8));
  CHECK_FALSE(this->TryHold("long", 9));
  CHECK_FALSE(this->TryHold("short", 1));
  this->bodies.Drop("a");
  CHECK_FALSE(this->TryHold("short", 1));
  this->bodies.StopWaiting("long");
  CHECK(this->TryHold("short", 1));
}

TEST(PeerBodies, KeepTheMemoryOfAnAttemptThatHasArrivedUntilItEnds) {
  CHECK(this->TryHold("a", 8));
  BodyLease lease = this->bodies.Take("a");
  CHECK(lease != nullptr);
  this->bodies.Expire(At(2'000));
  this->bodies.Drop("a");
  CHECK_FALSE(this->TryHold("b", 8));
  lease.reset();
  CHECK(this->TryHold("b", 8));
}

TEST(PeerBodies, GiveBackTheMemoryOfAnAttemptThatDoesNotArrive) {
  CHECK(this->TryHold("a", 8));
  this->bodies.Expire(At(1'000));
  UNSIGNED_LONGS_EQUAL(0, this->bodies.used());
  CHECK(this->bodies.Take("a") == nullptr);
}

TEST(PeerBodies, TakeNothingForShortBodies) {
  CHECK(this->TryHold("a", 10));
  CHECK(this->bodies.TryHold("b", 64 * 1024, At(1'000)));
  UNSIGNED_LONGS_EQUAL(10 * kMegabyte, this->bodies.used());
}

}  // namespace
}  // namespace kingcupstair::guard
