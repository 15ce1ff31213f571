#include "tests/limits/rate_limit_simulation.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "tests/support/times.h"

namespace kingcupstair {
namespace {

constexpr int kHosts = 4;
constexpr double kRounding = 1e-6;

// Applies one random step to `simulation`: `kind` selects the step, `a` and `b`
// are hosts, and `millis` determines delays and the number of permits.
void ApplyRandomStep(RateLimitSimulation& simulation,
                     int kind,
                     int a,
                     int b,
                     int millis) {
  const Duration delay = Millis(millis % 400);
  const Duration other_delay = Millis(millis / 3 % 150);
  switch (kind) {
    case 0:
      simulation.RequestLoan(a, b, delay, other_delay);
      break;
    case 1:
      simulation.Restart(a);
      break;
    case 2:
      simulation.Freeze(a, Millis(millis * 2));
      break;
    case 3:
      simulation.ReturnLoan(a, b, other_delay);
      break;
    case 4:
      simulation.MoveShare(a);
      break;
    case 5:
      simulation.Advance(Millis(millis));
      break;
    default:
      simulation.RequestPermits(a, b, 1 + millis % 60, other_delay / 10,
                                delay / 10);
      break;
  }
}

TEST_GROUP(RateLimitSimulation){};

TEST(RateLimitSimulation, NoTimeWindowExceedsRateAndBurst) {
  const bool passed = rc::check("rate and burst hold in every window", [] {
    RateLimitSimulation simulation({.hosts = kHosts});
    const auto steps = *rc::gen::container<std::vector<int>>(
        400, rc::gen::inRange(0, 1'000'000));
    for (const int step : steps) {
      // Most steps request permits or loans, so that loans are renewed.
      const int kind = step % 24;
      ApplyRandomStep(simulation,
                      kind < 8    ? kind % 6
                      : kind < 14 ? 0
                                  : 9,
                      step / 24 % kHosts, step / 100 % kHosts,
                      step / 400 % 1500);
      simulation.Advance(Millis(step % 37));
    }
    RC_ASSERT(simulation.excess() <= kRounding);
  });
  CHECK(passed);
}

TEST(RateLimitSimulation, ARestartedLenderDoesNotSpendItsShareTwice) {
  RateLimitSimulation simulation(
      {.hosts = 2, .limit = {.rate = 100, .depth = 40}});
  simulation.RequestLoan(0, 1, Millis(1), Millis(1));
  simulation.RequestLoan(0, 0, Millis(1), Millis(1));
  simulation.Advance(Millis(1'000));
  simulation.Restart(1);
  simulation.RequestLoan(1, 1, Millis(0), Millis(0));
  for (int i = 0; i < 100; ++i) {
    simulation.RequestPermits(0, 0, 40, Millis(0), Millis(0));
    simulation.RequestPermits(1, 1, 40, Millis(0), Millis(0));
    simulation.Advance(Millis(10));
  }
  DOUBLES_EQUAL(0, simulation.excess(), kRounding);
  CHECK(simulation.started() > 50);
}

TEST(RateLimitSimulation, APoolHostFrozenUntilItsLoansExpireGrantsNothing) {
  RateLimitSimulation simulation({.hosts = 2});
  simulation.RequestLoan(0, 1, Millis(1), Millis(1));
  simulation.RequestLoan(0, 0, Millis(1), Millis(1));
  simulation.Advance(Millis(1'900));
  simulation.RequestPermits(0, 0, 20, Millis(0), Millis(0));
  simulation.Freeze(0, Millis(3'000));
  simulation.Advance(Millis(3'100));
  const int before = simulation.started();
  simulation.RequestPermits(0, 0, 20, Millis(0), Millis(0));
  simulation.Advance(Millis(1));
  LONGS_EQUAL(before, simulation.started());
}

TEST(RateLimitSimulation, OutstandingPermitsOfAReturnedLoanStillCount) {
  RateLimitSimulation simulation(
      {.hosts = 2, .limit = {.rate = 100, .depth = 40}});
  simulation.RequestLoan(0, 0, Millis(0), Millis(0));
  simulation.RequestLoan(0, 1, Millis(0), Millis(0));
  simulation.Advance(Millis(1'900));
  simulation.RequestPermits(0, 0, 40, Millis(0), Millis(90));
  simulation.Advance(Millis(1));
  simulation.ReturnLoan(0, 1, Millis(0));
  simulation.Advance(Millis(1));
  simulation.RequestLoan(1, 1, Millis(0), Millis(0));
  simulation.Advance(Millis(88));
  simulation.RequestPermits(1, 1, 40, Millis(0), Millis(0));
  simulation.Advance(Millis(1));
  CHECK(simulation.started() >= 40);
  DOUBLES_EQUAL(0, simulation.excess(), kRounding);
}

// Guards against a loan return that arrives after a later loan request of the
// same pool host. The late return ended the new loan, while the pool host went
// on to spend from it.
TEST(RateLimitSimulation, ALateReturnDoesNotEndALaterLoan) {
  limits::ShareLender lender({});
  lender.SetShare(0.5);
  lender.Lend(0, "pool", 10, At(0));
  CHECK(lender.Lend(0, "pool", 30, At(100)).fraction > 0);
  lender.AcceptReturn(0, "pool", 20, At(200));
  DOUBLES_EQUAL(0, lender.Lend(0, "other", 40, At(1'000)).fraction, 0);
  lender.AcceptReturn(0, "pool", 50, At(1'100));
  CHECK(lender.Lend(0, "other", 60, At(1'500)).fraction > 0);
}

// Load pattern: every host sends several permit requests a second. The loan
// offers in these permit requests make loan requests unnecessary.
TEST(RateLimitSimulation, LoanOffersKeepTheWholeRateInThePool) {
  RateLimitSimulation simulation({.hosts = 3,
                                  .limit = {.rate = 100, .depth = 40},
                                  .loan_lifetime = Millis(500)});
  for (int i = 0; i < 1'000; ++i) {
    simulation.RequestPermits(i % 3, 0, 1, Millis(1), Millis(1));
    simulation.Advance(Millis(10));
  }
  CHECK(simulation.started() > 980);
  DOUBLES_EQUAL(0, simulation.excess(), kRounding);
}

TEST(RateLimitSimulation, AHostThatCannotReachItsPoolHostRecoversItsShare) {
  limits::ShareLender lender({});
  lender.SetShare(0.5);
  CHECK(lender.Lend(0, "pool", 0, At(0)).fraction > 0);
  lender.RefuseLoansTo("pool", At(5'000));
  DOUBLES_EQUAL(0, lender.Lend(0, "pool", 0, At(1'000)).fraction, 0);
  DOUBLES_EQUAL(0, lender.Lend(0, "own", 0, At(1'000)).fraction, 0);
  CHECK(lender.Lend(0, "own", 0, At(2'400)).fraction > 0);
}

TEST(RateLimitSimulation, SteadyLoadGetsTheWholeRate) {
  RateLimitSimulation simulation(
      {.hosts = 3, .limit = {.rate = 100, .depth = 40}});
  for (int i = 0; i < 1'000; ++i) {
    for (int lender = 0; lender < 3 && i % 50 == 0; ++lender) {
      simulation.RequestLoan(0, lender, Millis(1), Millis(1));
    }
    simulation.RequestPermits(i % 3, 0, 1, Millis(1), Millis(1));
    simulation.Advance(Millis(10));
  }
  // Ten seconds at the rate of the organisation. The bucket fills during the
  // first second.
  CHECK(simulation.started() > 980);
}

}  // namespace
}  // namespace kingcupstair
