#include "components/limits/rate_pool.h"

#include <CppUTest/TestHarness.h>

#include "tests/support/times.h"

namespace kingcupstair::limits {
namespace {

constexpr RateLimit kLimit{.rate = 100, .depth = 50};
constexpr char kOrganisation[] = "growers";

TEST_GROUP(RatePool) {
  RatePool pool;
  ShardId shard = ShardOf(kOrganisation);

  void Lend(double fraction, int64_t asked_ms, int64_t life_ms) {
    this->pool.AddLoan(this->shard, "lender",
                       {.fraction = fraction, .life = Millis(life_ms)},
                       At(asked_ms), At(asked_ms));
  }
};

TEST(RatePool, GrantsNothingWithoutALoan) {
  const auto grant = this->pool.Acquire(kOrganisation, 1, kLimit, At(0));
  LONGS_EQUAL(0, grant.granted);
  CHECK(grant.retry_after > Duration{});
}

// The asker can then spend its own share, or ask through a host that knows of
// another pool, instead of refusing.
TEST(RatePool, SaysWhenNobodyLendsToIt) {
  CHECK(this->pool.Acquire(kOrganisation, 1, kLimit, At(0)).pools_nothing);
  this->Lend(0.25, 0, 10'000);
  const auto grant = this->pool.Acquire(kOrganisation, 1, kLimit, At(1'000));
  CHECK_FALSE(grant.pools_nothing);
  DOUBLES_EQUAL(0.25, grant.fraction, 1e-9);
}

TEST(RatePool, AnOrganisationUnheardOfGetsTheBurstThatFilledMeanwhile) {
  this->Lend(1, 0, 10'000);
  const auto grant = this->pool.Acquire(kOrganisation, 1, kLimit, At(5'000));
  LONGS_EQUAL(1, grant.granted);
}

TEST(RatePool, ABucketStartsEmptyWithItsLoan) {
  this->Lend(1, 0, 10'000);
  LONGS_EQUAL(0, this->pool.Acquire(kOrganisation, 1, kLimit, At(0)).granted);
  LONGS_EQUAL(1, this->pool.Acquire(kOrganisation, 9, kLimit, At(10)).granted);
}

TEST(RatePool, GrantsOnlyTheFractionOnLoan) {
  this->Lend(0.5, 0, 10'000);
  LONGS_EQUAL(25,
              this->pool.Acquire(kOrganisation, 99, kLimit, At(5'000)).granted);
}

TEST(RatePool, FillsNoMoreAfterTheLoanHasEnded) {
  this->Lend(1, 0, 100);
  LONGS_EQUAL(0,
              this->pool.Acquire(kOrganisation, 99, kLimit, At(5'000)).granted);
}

TEST(RatePool, PermitsInFlightKeepTheirPlaceInTheBucket) {
  this->Lend(1, 0, 10'000);
  LONGS_EQUAL(50,
              this->pool.Acquire(kOrganisation, 50, kLimit, At(5'000)).granted);
  // The permits hold for a quarter of the time to fill; until then nothing
  // may fill behind them.
  LONGS_EQUAL(0,
              this->pool.Acquire(kOrganisation, 50, kLimit, At(5'100)).granted);
  LONGS_EQUAL(10,
              this->pool.Acquire(kOrganisation, 50, kLimit, At(5'225)).granted);
}

TEST(RatePool, ForgetsABucketThatWouldBeAsFullAnew) {
  this->Lend(1, 0, 60'000);
  this->pool.Acquire(kOrganisation, 5, kLimit, At(1'000));
  this->pool.ForgetIdle(At(1'010));
  LONGS_EQUAL(1, this->pool.bucket_count());
  this->pool.ForgetIdle(At(9'000));
  LONGS_EQUAL(0, this->pool.bucket_count());
}

}  // namespace
}  // namespace kingcupstair::limits
