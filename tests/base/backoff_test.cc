#include "components/base/backoff.h"

#include <CppUTest/TestHarness.h>

namespace kingcupstair {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(Backoff) {
  Backoff backoff{{.first = milliseconds(100), .longest = milliseconds(350)}};

  void CheckNextWithin(Duration low, Duration high) {
    const Duration delay = this->backoff.NextDelay();
    CHECK(delay >= low);
    CHECK(delay <= high);
  }
};

TEST(Backoff, DoublesUpToTheLongestDelay) {
  this->CheckNextWithin(milliseconds(50), milliseconds(100));
  this->CheckNextWithin(milliseconds(100), milliseconds(200));
  this->CheckNextWithin(milliseconds(175), milliseconds(350));
  this->CheckNextWithin(milliseconds(175), milliseconds(350));
}

TEST(Backoff, StartsAgainAfterASuccess) {
  this->backoff.NextDelay();
  this->backoff.NextDelay();
  this->backoff.Reset();
  this->CheckNextWithin(milliseconds(50), milliseconds(100));
}

}  // namespace
}  // namespace kingcupstair
