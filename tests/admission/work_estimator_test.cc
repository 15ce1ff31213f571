#include "components/admission/work_estimator.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <random>

#include "tests/support/times.h"

namespace kingcupstair::admission {
namespace {

constexpr uint64_t kCheap = 1;
constexpr uint64_t kCostly = 2;
constexpr double kCheapMs = 210;
constexpr double kCostlyMs = 1'600;

WorkKey KeyOf(uint64_t work_class, uint64_t body_bytes = 0) {
  return {.service = "s",
          .work_class = work_class,
          .body_bytes = body_bytes,
          .objective = Millis(3'000)};
}

/// Replays an upstream's responses: log-normal work, of which some take much
/// longer, times the slowness of the upstream.
TEST_GROUP(WorkEstimator) {
  WorkEstimator estimator{{}};
  std::mt19937_64 random{20261206};
  int64_t now = 0;

  double Draw(double mean_ms) {
    constexpr double kSpread = 0.8;
    constexpr double kTailShare = 0.02;
    std::lognormal_distribution<double> work(
        std::log(mean_ms) - kSpread * kSpread / 2, kSpread);
    std::uniform_real_distribution<double> uniform(0, 1);
    const double drawn = work(this->random);
    return uniform(this->random) < kTailShare ? drawn * 6 : drawn;
  }

  void Play(int64_t seconds, double slowness, double costly_factor = 1,
            bool sound = true) {
    for (const int64_t end = this->now + seconds * 1'000; this->now < end;
         this->now += 50) {
      const bool costly = this->random() % 2 == 0;
      const double ms =
          costly ? this->Draw(kCostlyMs) * costly_factor : this->Draw(kCheapMs);
      this->estimator.Observe(
          {.upstream = "u",
           .key = KeyOf(costly ? kCostly : kCheap),
           .latency = Millis(static_cast<int64_t>(ms * slowness)),
           .upstream_sound = sound},
          At(this->now));
    }
  }

  double MeanMs(uint64_t work_class) const {
    return ToSeconds(this->estimator.Work(KeyOf(work_class)).Mean()) * 1e3;
  }
};

TEST(WorkEstimator, LearnsMeansOfClassesThatVaryWidely) {
  this->Play(120, 1);
  DOUBLES_EQUAL(kCheapMs, this->MeanMs(kCheap), kCheapMs * 0.35);
  DOUBLES_EQUAL(kCostlyMs, this->MeanMs(kCostly), kCostlyMs * 0.35);
  DOUBLES_EQUAL(1, this->estimator.Slowness("u"), 0.35);
}

// A gray upstream must not raise the cost of requests, or organisations with
// costly requests get fewer slots after each fault.
TEST(WorkEstimator, ASlowUpstreamDoesNotRaiseTheWorkOfItsClasses) {
  this->Play(120, 1);
  const double cheap = this->MeanMs(kCheap);
  const double costly = this->MeanMs(kCostly);
  this->Play(60, 4);
  DOUBLES_EQUAL(4, this->estimator.Slowness("u"), 1.5);
  DOUBLES_EQUAL(cheap, this->MeanMs(kCheap), cheap * 0.3);
  DOUBLES_EQUAL(costly, this->MeanMs(kCostly), costly * 0.3);
  CHECK(this->estimator.RunTime("u", KeyOf(kCheap)).Mean() >
        this->estimator.Work(KeyOf(kCheap)).Mean() * 2);
}

// Requests that become expensive must not make their upstream count as slow.
TEST(WorkEstimator, AClassThatBecomesCostlierIsLearnedAndNotSlowness) {
  this->Play(120, 1);
  const double costly = this->MeanMs(kCostly);
  this->Play(120, 1, 3);
  DOUBLES_EQUAL(1, this->estimator.Slowness("u"), 0.35);
  DOUBLES_EQUAL(costly * 3, this->MeanMs(kCostly), costly);
  DOUBLES_EQUAL(kCheapMs, this->MeanMs(kCheap), kCheapMs * 0.35);
}

// Errors of one estimate that feed the other grow over many faults.
TEST(WorkEstimator, EstimatesStayStableOverManyFaults) {
  this->Play(120, 1);
  for (int i = 0; i < 20; ++i) {
    this->Play(30, 5);
    this->Play(60, 1);
  }
  DOUBLES_EQUAL(kCheapMs, this->MeanMs(kCheap), kCheapMs * 0.5);
  DOUBLES_EQUAL(kCostlyMs, this->MeanMs(kCostly), kCostlyMs * 0.5);
  DOUBLES_EQUAL(1, this->estimator.Slowness("u"), 0.35);
}

TEST(WorkEstimator, NothingIsLearnedFromAColdUpstream) {
  this->Play(3, 5, 1, false);
  LONGS_EQUAL(0, this->estimator.class_count());
}

TEST(WorkEstimator, AnUnknownClassStartsFromTheObjectiveThenFromItsService) {
  DOUBLES_EQUAL(1, ToSeconds(this->estimator.Work(KeyOf(kCheap)).Median()),
                0.01);
  this->Play(60, 1);
  const WorkEstimate unknown = this->estimator.Work(KeyOf(7));
  CHECK(unknown.Mean() > this->estimator.Work(KeyOf(kCheap)).Mean());
  CHECK(unknown.Mean() < this->estimator.Work(KeyOf(kCostly)).Mean());
}

TEST(WorkEstimator, LargeBodiesHaveAnEstimateOfTheirOwn) {
  for (int i = 0; i < 20; ++i) {
    for (const uint64_t bytes : {100U, 10'000'000U}) {
      this->estimator.Observe({.upstream = "u",
                               .key = KeyOf(kCheap, bytes),
                               .latency = Millis(bytes > 100 ? 2'000 : 100)},
                              At(i * 100));
    }
  }
  CHECK(this->estimator.Work(KeyOf(kCheap, 10'000'000)).Median() >
        this->estimator.Work(KeyOf(kCheap, 100)).Median() * 10);
}

// Otherwise callers of many routes and sizes fill the memory of the host.
TEST(WorkEstimator, ClassesAreBoundedAndAge) {
  for (uint64_t i = 1; i <= 2'000; ++i) {
    this->estimator.Observe(
        {.upstream = "u", .key = KeyOf(i), .latency = Millis(10)},
        At(static_cast<int64_t>(i)));
  }
  LONGS_EQUAL(512, this->estimator.class_count());
  this->estimator.Observe(
      {.upstream = "u", .key = KeyOf(1), .latency = Millis(10)}, At(3'700'000));
  LONGS_EQUAL(1, this->estimator.class_count());
}

TEST(WorkEstimator, TheTimeLeftOfALongRunGrowsWithItsAge) {
  const WorkEstimate estimate{.log_mean = 0, .spread = 0.8};
  CHECK(estimate.MeanRemaining(Millis(0)) == estimate.Mean());
  CHECK(estimate.MeanRemaining(Millis(8'000)) >
        estimate.MeanRemaining(Millis(1'000)));
}

}  // namespace
}  // namespace kingcupstair::admission
