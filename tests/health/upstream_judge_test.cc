#include "components/health/upstream_judge.h"

#include <CppUTest/TestHarness.h>

#include "tests/support/times.h"

namespace kingcupstair::health {
namespace {

constexpr Duration kObjective{std::chrono::milliseconds(1200)};

TEST_GROUP(UpstreamJudge) {
  UpstreamJudge judge;
  uint64_t last = 0;

  uint64_t Start(int64_t at_ms) {
    this->judge.OnStart({.request = ++this->last, .objective = kObjective},
                        At(at_ms));
    return this->last;
  }

  void Serve(int64_t at_ms, int64_t took_ms, Verdict verdict) {
    const uint64_t id = this->Start(at_ms);
    this->judge.OnEnd(id, verdict, At(at_ms + took_ms));
  }
};

// Load pattern: a clump of requests reaches an upstream that has just begun to
// hang, with its health endpoint reporting that all is well.
TEST(UpstreamJudge, AClumpWithoutAnyAnswerGivesDoubtLongBeforeATimeout) {
  this->Serve(0, 300, Verdict::kGood);
  for (int i = 0; i < 4; ++i) {
    this->Start(400);
  }
  CHECK_FALSE(this->judge.IsInDoubt(At(500)));
  CHECK(this->judge.IsInDoubt(At(700)));
  CHECK_FALSE(this->judge.LooksUnwell(At(700)));
  CHECK(this->judge.LooksUnwell(At(1'300)));
}

TEST(UpstreamJudge, OneSlowRequestAmongGoodOnesGivesNoDoubt) {
  this->Start(0);
  for (int i = 1; i < 10; ++i) {
    this->Serve(i * 100, 90, Verdict::kGood);
  }
  CHECK_FALSE(this->judge.IsInDoubt(At(1'000)));
  CHECK_FALSE(this->judge.LooksUnwell(At(1'000)));
}

TEST(UpstreamJudge, FailuresShowAtOnceAndFade) {
  this->Serve(0, 100, Verdict::kGood);
  this->Serve(100, 5, Verdict::kBad);
  CHECK_FALSE(this->judge.LooksUnwell(At(110)));
  this->Serve(200, 5, Verdict::kBad);
  CHECK(this->judge.LooksUnwell(At(210)));
  CHECK_FALSE(this->judge.LooksUnwell(At(8'000)));
}

TEST(UpstreamJudge, TrialsThatEndWellEndTheSuspicion) {
  this->Serve(0, 5, Verdict::kBad);
  this->Serve(10, 5, Verdict::kBad);
  CHECK(this->judge.LooksUnwell(At(20)));
  this->Serve(100, 300, Verdict::kGood);
  this->Serve(500, 300, Verdict::kGood);
  CHECK(this->judge.LooksUnwell(At(900)));
  this->Serve(900, 300, Verdict::kGood);
  CHECK_FALSE(this->judge.LooksUnwell(At(1'300)));
}

TEST(UpstreamJudge, WhatWasCancelledSaysNothing) {
  this->Serve(0, 50, Verdict::kNone);
  this->Serve(0, 50, Verdict::kNone);
  CHECK_FALSE(this->judge.LooksUnwell(At(100)));
}

// Load pattern: an upstream hangs two thirds of its requests for half a minute.
// Those that may be repeated are answered elsewhere and given up here before
// they are overdue, so they told nothing and requests that may not be repeated
// were lost there one after the other.
TEST(UpstreamJudge, WhatWasGivenUpLateCountsAsBad) {
  this->Serve(0, 700, Verdict::kNone);
  this->Serve(1'000, 80, Verdict::kGood);
  this->Serve(1'800, 800, Verdict::kNone);
  CHECK(this->judge.LooksUnwell(At(2'700)));
}

// Load pattern: a clump of requests that may run only once, at an upstream
// that has just begun to hang.
TEST(UpstreamJudge, CountsWhatAHangingUpstreamWouldTakeWithIt) {
  const auto send_once = [&](int64_t at_ms) {
    this->judge.OnStart(
        {.request = ++this->last, .objective = kObjective, .once_only = true},
        At(at_ms));
    return this->last;
  };
  send_once(0);
  this->Start(0);
  LONGS_EQUAL(1, this->judge.OnceOnlySinceGood());
  this->Serve(10, 80, Verdict::kGood);
  LONGS_EQUAL(0, this->judge.OnceOnlySinceGood());
  const uint64_t later = send_once(100);
  send_once(110);
  LONGS_EQUAL(2, this->judge.OnceOnlySinceGood());
  this->judge.OnEnd(later, Verdict::kBad, At(200));
  LONGS_EQUAL(1, this->judge.OnceOnlySinceGood());
  this->judge.Restart();
  LONGS_EQUAL(0, this->judge.OnceOnlySinceGood());
}

}  // namespace
}  // namespace kingcupstair::health
