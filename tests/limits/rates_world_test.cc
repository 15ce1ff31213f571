#include "tests/limits/rates_world.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "tests/support/times.h"

namespace kingcupstair {
namespace {

constexpr int kHosts = 4;
constexpr double kRounding = 1e-6;

/// Carries out one step drawn at random.
void RandomStep(RatesWorld& world, int kind, int a, int b, int millis) {
  const Duration delay = Millis(millis % 400);
  const Duration other = Millis(millis / 3 % 150);
  switch (kind) {
    case 0:
      world.AskLoan(a, b, delay, other);
      break;
    case 1:
      world.Restart(a);
      break;
    case 2:
      world.Freeze(a, Millis(millis * 2));
      break;
    case 3:
      world.GiveBack(a, b, other);
      break;
    case 4:
      world.MoveShare(a);
      break;
    case 5:
      world.Advance(Millis(millis));
      break;
    default:
      world.AskPermits(a, b, 1 + millis % 60, other / 10, delay / 10);
      break;
  }
}

TEST_GROUP(RatesWorld){};

TEST(RatesWorld, NoWindowIsAboveRateAndBurst) {
  const bool held = rc::check("rate and burst hold in every window", [] {
    RatesWorld world({.hosts = kHosts});
    const auto steps = *rc::gen::container<std::vector<int>>(
        400, rc::gen::inRange(0, 1'000'000));
    for (const int step : steps) {
      // Most steps ask for permits; loans are kept up meanwhile.
      const int kind = step % 24;
      RandomStep(world,
                 kind < 8    ? kind % 6
                 : kind < 14 ? 0
                             : 9,
                 step / 24 % kHosts, step / 100 % kHosts, step / 400 % 1500);
      world.Advance(Millis(step % 37));
    }
    RC_ASSERT(world.excess() <= kRounding);
  });
  CHECK(held);
}

TEST(RatesWorld, AKilledAndRestartedLenderDoesNotSpendItsShareTwice) {
  RatesWorld world({.hosts = 2, .limit = {.rate = 100, .depth = 40}});
  world.AskLoan(0, 1, Millis(1), Millis(1));
  world.AskLoan(0, 0, Millis(1), Millis(1));
  world.Advance(Millis(1'000));
  world.Restart(1);
  world.AskLoan(1, 1, Millis(0), Millis(0));
  for (int i = 0; i < 100; ++i) {
    world.AskPermits(0, 0, 40, Millis(0), Millis(0));
    world.AskPermits(1, 1, 40, Millis(0), Millis(0));
    world.Advance(Millis(10));
  }
  DOUBLES_EQUAL(0, world.excess(), kRounding);
  CHECK(world.started() > 50);
}

TEST(RatesWorld, APoolFrozenPastItsLoansGrantsNothing) {
  RatesWorld world({.hosts = 2});
  world.AskLoan(0, 1, Millis(1), Millis(1));
  world.AskLoan(0, 0, Millis(1), Millis(1));
  world.Advance(Millis(1'900));
  world.AskPermits(0, 0, 20, Millis(0), Millis(0));
  world.Freeze(0, Millis(3'000));
  world.Advance(Millis(3'100));
  const int before = world.started();
  world.AskPermits(0, 0, 20, Millis(0), Millis(0));
  world.Advance(Millis(1));
  LONGS_EQUAL(before, world.started());
}

TEST(RatesWorld, PermitsOutWhenALoanIsGivenBackStillCount) {
  RatesWorld world({.hosts = 2, .limit = {.rate = 100, .depth = 40}});
  world.AskLoan(0, 0, Millis(0), Millis(0));
  world.AskLoan(0, 1, Millis(0), Millis(0));
  world.Advance(Millis(1'900));
  world.AskPermits(0, 0, 40, Millis(0), Millis(90));
  world.Advance(Millis(1));
  world.GiveBack(0, 1, Millis(0));
  world.Advance(Millis(1));
  world.AskLoan(1, 1, Millis(0), Millis(0));
  world.Advance(Millis(88));
  world.AskPermits(1, 1, 40, Millis(0), Millis(0));
  world.Advance(Millis(1));
  CHECK(world.started() >= 40);
  DOUBLES_EQUAL(0, world.excess(), kRounding);
}

// An ask that overtakes the loan given back before it once ended a loan that
// the pool went on to spend from.
TEST(RatesWorld, AReturnThatComesLateLeavesTheLaterLoan) {
  limits::ShareLender lender({});
  lender.SetShare(0.5);
  lender.Lend(0, "pool", 10, At(0));
  CHECK(lender.Lend(0, "pool", 30, At(100)).fraction > 0);
  lender.Return(0, "pool", 20, At(200));
  DOUBLES_EQUAL(0, lender.Lend(0, "other", 40, At(1'000)).fraction, 0);
  lender.Return(0, "pool", 50, At(1'100));
  CHECK(lender.Lend(0, "other", 60, At(1'500)).fraction > 0);
}

// Load pattern: every host asks for permits several times a second, so nobody
// has to be asked for its share.
TEST(RatesWorld, OffersWithAsksForPermitsKeepTheWholeRateInThePool) {
  RatesWorld world({.hosts = 3,
                    .limit = {.rate = 100, .depth = 40},
                    .loan_life = Millis(500)});
  for (int i = 0; i < 1'000; ++i) {
    world.AskPermits(i % 3, 0, 1, Millis(1), Millis(1));
    world.Advance(Millis(10));
  }
  CHECK(world.started() > 980);
  DOUBLES_EQUAL(0, world.excess(), kRounding);
}

TEST(RatesWorld, AHostThatCannotReachItsPoolGetsItsShareBack) {
  limits::ShareLender lender({});
  lender.SetShare(0.5);
  CHECK(lender.Lend(0, "pool", 0, At(0)).fraction > 0);
  lender.Distrust("pool", At(5'000));
  DOUBLES_EQUAL(0, lender.Lend(0, "pool", 0, At(1'000)).fraction, 0);
  DOUBLES_EQUAL(0, lender.Lend(0, "own", 0, At(1'000)).fraction, 0);
  CHECK(lender.Lend(0, "own", 0, At(2'400)).fraction > 0);
}

TEST(RatesWorld, SteadyLoadGetsTheWholeRate) {
  RatesWorld world({.hosts = 3, .limit = {.rate = 100, .depth = 40}});
  for (int i = 0; i < 1'000; ++i) {
    for (int lender = 0; lender < 3 && i % 50 == 0; ++lender) {
      world.AskLoan(0, lender, Millis(1), Millis(1));
    }
    world.AskPermits(i % 3, 0, 1, Millis(1), Millis(1));
    world.Advance(Millis(10));
  }
  // Ten seconds at the organisation's rate, with a first second to fill.
  CHECK(world.started() > 980);
}

}  // namespace
}  // namespace kingcupstair
