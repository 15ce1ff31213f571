#include "components/limits/permit_patience.h"

#include <CppUTest/TestHarness.h>

#include "tests/support/times.h"

namespace kingcupstair::limits {
namespace {

constexpr char kOrganisation[] = "growers";
const PermitGrant kNoLoans{.has_no_loans = true};
const PermitGrant kNewPool{.retry_after = Millis(40), .pooled_fraction = 0.2};
const PermitGrant kOverRate{.retry_after = Millis(300), .pooled_fraction = 1};

TEST_GROUP(PermitWaitPolicy) {
  PermitWaitPolicy wait_policy;

  PermitWaitPolicy::RequestState wait{.arrived = At(0), .deadline = At(5'000)};

  std::optional<Duration> Ask(const PermitGrant& grant, int64_t now_ms) {
    ++this->wait.failed_permit_requests;
    return this->wait_policy.DelayBeforeNextTry(kOrganisation, grant,
                                                this->wait, At(now_ms));
  }
};

// Load pattern: the pool host fails, and for 0.8 s no host can determine which
// organisations are within their rate limits. All requests of that time were
// refused.
TEST(PermitWaitPolicy, ARequestWaitsUntilANewPoolHostTakesOver) {
  int64_t now = 0;
  while (const auto delay = this->Ask(kNoLoans, now)) {
    now += ToMillisRoundedUp(*delay);
  }
  CHECK(now >= 800);
  CHECK(now <= 1'500);
}

TEST(PermitWaitPolicy, WaitsWhileThePoolHasTooFewShares) {
  CHECK(this->Ask(kNewPool, 10).has_value());
}

TEST(PermitWaitPolicy, ARequestThatWaitedForATakeoverWaitsForARefill) {
  CHECK(this->Ask(kNoLoans, 0).has_value());
  CHECK(this->Ask(kOverRate, 80).has_value());
}

TEST(PermitWaitPolicy, ARequestOverTheRateLimitIsRefusedAtOnce) {
  CHECK_FALSE(this->Ask(kOverRate, 10).has_value());
}

TEST(PermitWaitPolicy, WaitsOnceForARefillAfterABurst) {
  const PermitGrant empty{.retry_after = Millis(30), .pooled_fraction = 1};
  CHECK(this->Ask(empty, 10) == Millis(30));
  CHECK_FALSE(this->Ask(empty, 40).has_value());
}

TEST(PermitWaitPolicy, WaitsForAtMostHalfOfTheTimeToTheDeadline) {
  this->wait.deadline = At(400);
  CHECK(this->Ask(kNoLoans, 10).has_value());
  CHECK_FALSE(this->Ask(kNoLoans, 150).has_value());
}

// Load pattern: one organisation sends at eight times its rate limit while
// there is no pool host. Without a bound, hundreds of its requests would wait.
TEST(PermitWaitPolicy, BoundsTheWaitingRequestsOfAnOrganisation) {
  CHECK(this->Ask(kNoLoans, 10).has_value());
  int waiting = 1;
  PermitWaitPolicy::RequestState other{
      .arrived = At(0), .deadline = At(5'000), .failed_permit_requests = 1};
  while (waiting < 100 && this->wait_policy.DelayBeforeNextTry(
                              kOrganisation, kNoLoans, other, At(10))) {
    other = {
        .arrived = At(0), .deadline = At(5'000), .failed_permit_requests = 1};
    ++waiting;
  }
  CHECK(waiting >= 2);
  CHECK(waiting <= 8);
  CHECK(this->Ask(kNoLoans, 90).has_value());
  this->wait_policy.EndWait(kOrganisation);
  CHECK(this->wait_policy
            .DelayBeforeNextTry(kOrganisation, kNoLoans, other, At(10))
            .has_value());
}

}  // namespace
}  // namespace kingcupstair::limits
