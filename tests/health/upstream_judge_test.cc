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
    this->judge.OnStart(++this->last, kObjective, At(at_ms));
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
  DOUBLES_EQUAL(0, this->judge.BadShare(At(100)), 0.001);
}

}  // namespace
}  // namespace kingcupstair::health
