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
    case 6:
      simulation.Sweep(a, delay, other_delay);
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

// Two hosts take themselves for the pool host, renew their loans and use up all
// that they have, while hosts restart, freeze and messages are delayed.
TEST(RateLimitSimulation, SweepsAfterRestartsStayWithinTheRate) {
  const bool passed = rc::check("a sweep ends blocks in time", [] {
    RateLimitSimulation simulation({.hosts = kHosts});
    const auto steps = *rc::gen::container<std::vector<int>>(
        500, rc::gen::inRange(0, 1'000'000));
    for (const int step : steps) {
      const int host = step / 100 % kHosts;
      const int millis = step / 400 % 1'000;
      const Duration delay = Millis(millis < 900 ? millis % 40 : millis);
      if (step % 100 < 3) {
        simulation.Restart(host);
      } else if (step % 100 == 3) {
        for (int each = 0; each < kHosts; ++each) {
          simulation.Restart(each);
        }
      } else if (step % 100 == 4) {
        simulation.Freeze(host, Millis(millis));
      }
      for (int pool = 0; pool < 2; ++pool) {
        simulation.RequestLoan(pool, host, Millis(step % 7), delay);
        simulation.Sweep(pool, Millis(step % 11), Millis(step % 13));
        simulation.RequestPermits(pool, pool, 40, Millis(0), Millis(step % 90));
      }
      simulation.Advance(Millis(10));
    }
    RC_ASSERT(simulation.excess() <= kRounding);
  });
  CHECK(passed);
}

// Restarts the hosts 1 and 2, whose shares are on loan to host 0, and lets host
// 1 sweep and take over the pool while host 0 goes on spending.
double ExcessOfTakeoverAfterRestart(Duration late_response) {
  RateLimitSimulation simulation({.hosts = 3});
  simulation.RequestLoan(0, 0, Millis(0), Millis(0));
  simulation.RequestLoan(0, 1, Millis(0), late_response);
  simulation.RequestLoan(0, 2, Millis(0), late_response);
  simulation.Advance(Millis(100));
  simulation.Restart(1);
  simulation.Restart(2);
  for (int i = 0; i < 180; ++i) {
    for (int host = 0; host < 3 && i % 10 == 0; ++host) {
      simulation.RequestLoan(1, host, Millis(0), Millis(0));
    }
    simulation.Sweep(1, Millis(0), Millis(0));
    simulation.RequestPermits(0, 0, 40, Millis(0), Millis(0));
    simulation.RequestPermits(1, 1, 40, Millis(0), Millis(0));
    simulation.Advance(Millis(10));
  }
  CHECK(simulation.started() > 100);
  return simulation.excess();
}

TEST(RateLimitSimulation, AHostThatConfirmsASweepSpendsNoDroppedLoan) {
  DOUBLES_EQUAL(0, ExcessOfTakeoverAfterRestart(Millis(0)), kRounding);
}

TEST(RateLimitSimulation, AGrantThatArrivesAfterItsDropIsIgnored) {
  DOUBLES_EQUAL(0, ExcessOfTakeoverAfterRestart(Millis(300)), kRounding);
}

// Guards against a grant that arrives after the pool host has returned the
// loan: the lender has ended the loan by then and lends its share to another
// host.
TEST(RateLimitSimulation, AGrantThatArrivesAfterItsReturnIsIgnored) {
  RateLimitSimulation simulation({.hosts = 2});
  simulation.RequestLoan(0, 0, Millis(0), Millis(0));
  simulation.RequestLoan(0, 1, Millis(0), Millis(200));
  simulation.Advance(Millis(50));
  simulation.ReturnLoan(0, 1, Millis(0));
  simulation.Advance(Millis(350));
  simulation.RequestLoan(1, 1, Millis(0), Millis(0));
  for (int i = 0; i < 150; ++i) {
    simulation.RequestPermits(0, 0, 40, Millis(0), Millis(0));
    simulation.RequestPermits(1, 1, 40, Millis(0), Millis(0));
    simulation.Advance(Millis(10));
  }
  CHECK(simulation.started() > 100);
  DOUBLES_EQUAL(0, simulation.excess(), kRounding);
}

TEST(RateLimitSimulation, PermitsOfADroppedLoanStillCount) {
  limits::ShareLender lender({});
  lender.SetShare(0.5);
  lender.BlockLoansUntil(At(2'000), {.token = 2, .hosts = 7});
  // A clearance for the former process.
  lender.EndBlock(1, At(100));
  DOUBLES_EQUAL(0, lender.Lend(0, "pool", 1, At(1'000)).fraction, 0);
  CHECK(lender.Block(At(1'000)).token == 2);
  lender.EndBlock(2, At(1'000));
  CHECK(lender.Block(At(1'000)).token == 0);
  DOUBLES_EQUAL(0, lender.Lend(0, "pool", 2, At(1'299)).fraction, 0);
  CHECK(lender.Lend(0, "pool", 3, At(1'300)).fraction > 0);
}

TEST(RateLimitSimulation, AShareIsLentToEligibleHostsOnly) {
  limits::ShareLender lender({});
  lender.SetShare(0.5);
  lender.SetEligibleBorrowers({"known"});
  DOUBLES_EQUAL(0, lender.Lend(0, "unknown", 1, At(0)).fraction, 0);
  CHECK(lender.Lend(0, "known", 1, At(0)).fraction > 0);
}

// After a restart of all hosts nobody had permits for the lifetime of a loan.
TEST(RateLimitSimulation, AfterARestartOfAllHostsASweepBringsPermitsSoon) {
  RateLimitSimulation simulation({.hosts = kHosts});
  for (int host = 0; host < kHosts; ++host) {
    simulation.RequestLoan(0, host, Millis(1), Millis(1));
  }
  simulation.Advance(Millis(100));
  for (int host = 0; host < kHosts; ++host) {
    simulation.Restart(host);
  }
  for (int i = 0; i < 60; ++i) {
    for (int host = 0; host < kHosts && i % 10 == 0; ++host) {
      simulation.RequestLoan(0, host, Millis(1), Millis(1));
    }
    simulation.Sweep(0, Millis(1), Millis(1));
    simulation.RequestPermits(1, 0, 2, Millis(1), Millis(1));
    simulation.Advance(Millis(10));
  }
  CHECK(simulation.started() >= 5);
  DOUBLES_EQUAL(0, simulation.excess(), kRounding);
}

// Guards against a block that ends although a host that may hold a loan of the
// former process has not dropped it.
TEST(RateLimitSimulation, AFrozenPoolHostKeepsTheBlock) {
  RateLimitSimulation simulation({.hosts = 3});
  for (int host = 0; host < 3; ++host) {
    simulation.RequestLoan(0, host, Millis(0), Millis(0));
  }
  simulation.Advance(Millis(500));
  simulation.Freeze(0, Millis(1'000));
  simulation.Restart(1);
  simulation.Restart(2);
  for (int i = 0; i < 300; ++i) {
    for (int host = 0; host < 3 && i % 10 == 0; ++host) {
      simulation.RequestLoan(1, host, Millis(0), Millis(0));
    }
    simulation.Sweep(1, Millis(0), Millis(0));
    simulation.RequestPermits(1, 1, 40, Millis(0), Millis(0));
    simulation.RequestPermits(0, 0, 40, Millis(0), Millis(0));
    simulation.Advance(Millis(10));
    if (i < 99) {
      LONGS_EQUAL(0, simulation.started());
    }
  }
  CHECK(simulation.started() > 0);
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
