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

  void Lend(double fraction, int64_t requested_at_ms, int64_t lifetime_ms) {
    this->pool.AddLoan(this->shard, "lender",
                       {.fraction = fraction, .lifetime = Millis(lifetime_ms)},
                       At(requested_at_ms), At(requested_at_ms));
  }
};

TEST(RatePool, GrantsNothingWithoutALoan) {
  const auto grant = this->pool.Acquire(kOrganisation, 1, kLimit, At(0));
  LONGS_EQUAL(0, grant.granted);
  CHECK(grant.retry_after > Duration{});
}

// On this response the requesting host can spend its own share, or send its
// permit request through a host that uses another pool host, instead of
// refusing the request.
TEST(RatePool, ReportsThatItHasNoLoans) {
  CHECK(this->pool.Acquire(kOrganisation, 1, kLimit, At(0)).has_no_loans);
  this->Lend(0.25, 0, 10'000);
  const auto grant = this->pool.Acquire(kOrganisation, 1, kLimit, At(1'000));
  CHECK_FALSE(grant.has_no_loans);
  DOUBLES_EQUAL(0.25, grant.pooled_fraction, 1e-9);
}

TEST(RatePool, ANewBucketHasTheTokensSinceTheStartOfTheLoan) {
  this->Lend(1, 0, 10'000);
  const auto grant = this->pool.Acquire(kOrganisation, 1, kLimit, At(5'000));
  LONGS_EQUAL(1, grant.granted);
}

TEST(RatePool, ABucketIsEmptyAtTheStartOfItsLoan) {
  this->Lend(1, 0, 10'000);
  LONGS_EQUAL(0, this->pool.Acquire(kOrganisation, 1, kLimit, At(0)).granted);
  LONGS_EQUAL(1, this->pool.Acquire(kOrganisation, 9, kLimit, At(10)).granted);
}

TEST(RatePool, GrantsOnlyTheFractionOnLoan) {
  this->Lend(0.5, 0, 10'000);
  LONGS_EQUAL(25,
              this->pool.Acquire(kOrganisation, 99, kLimit, At(5'000)).granted);
}

TEST(RatePool, DoesNotFillAfterTheLoanHasExpired) {
  this->Lend(1, 0, 100);
  LONGS_EQUAL(0,
              this->pool.Acquire(kOrganisation, 99, kLimit, At(5'000)).granted);
}

TEST(RatePool, OutstandingPermitsReserveTheirTokens) {
  this->Lend(1, 0, 10'000);
  LONGS_EQUAL(50,
              this->pool.Acquire(kOrganisation, 50, kLimit, At(5'000)).granted);
  // The lifetime of the permits is a quarter of the time in which the bucket
  // fills. Until the permits expire, their tokens must not be refilled.
  LONGS_EQUAL(0,
              this->pool.Acquire(kOrganisation, 50, kLimit, At(5'100)).granted);
  LONGS_EQUAL(10,
              this->pool.Acquire(kOrganisation, 50, kLimit, At(5'225)).granted);
}

TEST(RatePool, RemovesABucketThatWouldBeAsFullIfCreatedAgain) {
  this->Lend(1, 0, 60'000);
  this->pool.Acquire(kOrganisation, 5, kLimit, At(1'000));
  this->pool.RemoveRedundantBuckets(At(1'010));
  LONGS_EQUAL(1, this->pool.bucket_count());
  this->pool.RemoveRedundantBuckets(At(9'000));
  LONGS_EQUAL(0, this->pool.bucket_count());
}

}  // namespace
}  // namespace kingcupstair::limits
