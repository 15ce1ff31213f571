#include "components/limits/permit_patience.h"

#include <CppUTest/TestHarness.h>

#include "tests/support/times.h"

namespace kingcupstair::limits {
namespace {

constexpr char kOrganisation[] = "growers";
const PermitGrant kNoPool{.pools_nothing = true};
const PermitGrant kNewPool{.retry_after = Millis(40), .fraction = 0.2};
const PermitGrant kOverRate{.retry_after = Millis(300), .fraction = 1};

TEST_GROUP(PermitPatience) {
  PermitPatience patience;

  PermitPatience::Wait wait{.arrived = At(0), .deadline = At(5'000)};

  std::optional<Duration> Ask(const PermitGrant& grant, int64_t now_ms) {
    ++this->wait.asks;
    return this->patience.NextAsk(kOrganisation, grant, this->wait, At(now_ms));
  }
};

// Load pattern: the pool dies, and for 0.8 s nobody can tell who is inside the
// rate. All requests of that time were refused.
TEST(PermitPatience, ARequestOutlastsThePoolsSuccession) {
  int64_t now = 0;
  while (const auto pause = this->Ask(kNoPool, now)) {
    now += ToMillisRoundedUp(*pause);
  }
  CHECK(now >= 800);
  CHECK(now <= 1'500);
}

TEST(PermitPatience, WaitsWhileThePoolHasFewOfTheShares) {
  CHECK(this->Ask(kNewPool, 10).has_value());
}

TEST(PermitPatience, WhatHasWaitedForThePoolWaitsOnWhileItsBucketFills) {
  CHECK(this->Ask(kNoPool, 0).has_value());
  CHECK(this->Ask(kOverRate, 80).has_value());
}

TEST(PermitPatience, WhoIsOverItsRateIsToldAtOnce) {
  CHECK_FALSE(this->Ask(kOverRate, 10).has_value());
}

TEST(PermitPatience, ABurstIsWaitedOutOnce) {
  const PermitGrant empty{.retry_after = Millis(30), .fraction = 1};
  CHECK(this->Ask(empty, 10) == Millis(30));
  CHECK_FALSE(this->Ask(empty, 40).has_value());
}

TEST(PermitPatience, HalfOfTheTimeIsLeftForTheWork) {
  this->wait.deadline = At(400);
  CHECK(this->Ask(kNoPool, 10).has_value());
  CHECK_FALSE(this->Ask(kNoPool, 150).has_value());
}

// Load pattern: one organisation at eight times its rate while the pool is
// gone: its requests must not wait by the hundred.
TEST(PermitPatience, FewRequestsOfOneOrganisationWait) {
  CHECK(this->Ask(kNoPool, 10).has_value());
  int waiting = 1;
  PermitPatience::Wait other{
      .arrived = At(0), .deadline = At(5'000), .asks = 1};
  while (waiting < 100 &&
         this->patience.NextAsk(kOrganisation, kNoPool, other, At(10))) {
    other = {.arrived = At(0), .deadline = At(5'000), .asks = 1};
    ++waiting;
  }
  CHECK(waiting >= 2);
  CHECK(waiting <= 8);
  CHECK(this->Ask(kNoPool, 90).has_value());
  this->patience.End(kOrganisation);
  CHECK(this->patience.NextAsk(kOrganisation, kNoPool, other, At(10))
            .has_value());
}

}  // namespace
}  // namespace kingcupstair::limits
