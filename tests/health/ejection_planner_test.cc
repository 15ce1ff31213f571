#include "components/health/ejection_planner.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <cmath>

#include "components/health/path_health.h"
#include "tests/support/times.h"

namespace kingcupstair::health {
namespace {

std::vector<UpstreamView> Healthy(int count) {
  std::vector<UpstreamView> views;
  for (int i = 0; i < count; ++i) {
    views.push_back(
        {.id = "u" + std::to_string(i), .latency = Millis(5), .finished = 100});
  }
  return views;
}

TEST_GROUP(EjectionPlanner) {
  EjectionPlanner planner{{.floor = 0.5}};

  /// Calls Plan with the same views every 50 ms for two seconds from `at_ms`
  /// on, with one more finished request per upstream each time. Returns all
  /// changes.
  std::vector<EjectionChange> PlanFor(std::vector<UpstreamView> views,
                                      int64_t at_ms) {
    std::vector<EjectionChange> all;
    for (int64_t now = at_ms; now <= at_ms + 2'000; now += 50) {
      for (UpstreamView& view : views) {
        ++view.finished;
      }
      for (const auto& change : this->planner.Plan(views, At(now))) {
        all.push_back(change);
      }
    }
    return all;
  }
};

TEST(EjectionPlanner, EjectsSlowAndFailingUpstreams) {
  auto views = Healthy(6);
  views[1].latency = Millis(200);
  views[2].error_share = 0.9;
  const auto changes = this->PlanFor(views, 0);
  LONGS_EQUAL(2, changes.size());
  CHECK(this->planner.IsEjected("u1") && this->planner.IsEjected("u2"));
}

TEST(EjectionPlanner, EjectsNothingIfTheWholeServiceIsSlowAndFailing) {
  auto views = Healthy(6);
  for (UpstreamView& view : views) {
    view.latency = Millis(500);
    view.error_share = 0.8;
  }
  CHECK(this->PlanFor(views, 0).empty());
}

TEST(EjectionPlanner, EjectsNothingForSingleSlowResponses) {
  auto views = Healthy(6);
  views[1].latency = Millis(200);
  CHECK(this->planner.Plan(views, At(0)).empty());
  views[1].latency = Millis(5);
  CHECK(this->planner.Plan(views, At(100)).empty());
  views[1].latency = Millis(200);
  CHECK(this->planner.Plan(views, At(400)).empty());
}

TEST(EjectionPlanner, EjectsNothingForOneOldLoadReport) {
  auto views = Healthy(6);
  views[1].latency = Millis(200);
  for (int64_t now = 0; now < 9'000; now += 50) {
    CHECK(this->planner.Plan(views, At(now)).empty());
  }
}

TEST(EjectionPlanner, EjectsAHangingUpstreamWithoutAnyResponse) {
  auto views = Healthy(6);
  views[1].in_flight = 3;
  views[1].latency = Millis(300);
  this->planner.Plan(views, At(0));
  views[1].latency = Millis(800);
  LONGS_EQUAL(1, this->planner.Plan(views, At(500)).size());
}

TEST(EjectionPlanner, EjectsNothingIfUpstreamsTurnSlowOneAfterTheOther) {
  auto views = Healthy(6);
  for (size_t i = 0; i < views.size(); ++i) {
    views[i].latency = Millis(300);
    const auto now = At(static_cast<int64_t>(i) * 200);
    CHECK(this->planner.Plan(views, now).empty());
  }
  CHECK(this->PlanFor(views, 1'200).empty());
}

TEST(EjectionPlanner, EjectsOnlyOutliersDownToTheFloor) {
  auto views = Healthy(4);
  views[0].latency = Millis(300);
  views[1].latency = Millis(900);
  views[2].latency = Millis(600);
  this->PlanFor(views, 0);
  LONGS_EQUAL(0, this->planner.ejected_count());
  views[0].latency = Millis(5);
  this->PlanFor(views, 3'000);
  LONGS_EQUAL(2, this->planner.ejected_count());
}

TEST(EjectionPlanner, ReinstatesOnlyAfterSuccessfulTrialRequests) {
  auto views = Healthy(4);
  views[0].error_share = 0.9;
  this->planner.Plan(views, At(0));
  views[0].finished = 102;
  this->planner.Plan(views, At(300));
  views[0].error_share = 0;
  this->planner.Plan(views, At(1'000));
  CHECK_FALSE(this->planner.IsOnTrial("u0", At(1'000)));
  this->planner.Plan(views, At(2'300));
  CHECK(this->planner.IsOnTrial("u0", At(2'300)));
  CHECK(this->planner.IsEjected("u0"));
  views[0].finished = 105;
  this->planner.Plan(views, At(2'400));
  CHECK_FALSE(this->planner.IsEjected("u0"));
}

TEST(EjectionPlanner, LengthensTheEjectionsOfAFlappingUpstream) {
  auto views = Healthy(4);
  int64_t ejected_ms = 0;
  for (int64_t now = 0; now < 60'000; now += 50) {
    const bool ejected = this->planner.IsEjected("u0");
    views[0].error_share = ejected ? 0 : 0.9;
    views[0].finished += 1;
    this->planner.Plan(views, At(now));
    ejected_ms += ejected ? 50 : 0;
  }
  CHECK(ejected_ms > 55'000);
}

TEST(EjectionPlanner, NeverLeavesFewerUpstreamsThanTheFloor) {
  const bool passed = rc::check("the floor holds", [] {
    const auto floor = *rc::gen::inRange(0, 101) / 100.0;
    EjectionPlanner planner({.floor = floor});
    const auto draws = *rc::gen::container<std::vector<int>>(
        60, rc::gen::inRange(0, 1'000'000));
    for (size_t i = 0; i < draws.size(); ++i) {
      const int draw = draws[i];
      auto views = Healthy(1 + draw % 9);
      for (size_t j = 0; j < views.size(); ++j) {
        views[j].latency = Millis(1 + (draw >> j) % 700);
        views[j].error_share = (draw >> (j + 3)) % 11 / 10.0;
      }
      planner.Plan(views, At(static_cast<int64_t>(i) * 400));
      const double in_use = static_cast<double>(views.size()) -
                            static_cast<double>(planner.ejected_count());
      RC_ASSERT(in_use >= std::ceil(floor * static_cast<double>(views.size())));
      RC_ASSERT(in_use >= 1);
    }
  });
  CHECK(passed);
}

TEST_GROUP(PathHealth) {
  PathHealth paths;
};

TEST(PathHealth, LengthensTheBackoffWithEachLoss) {
  this->paths.OnUnreachable("h", At(0));
  CHECK_FALSE(this->paths.IsOpen("h", At(499)));
  CHECK(this->paths.IsOpen("h", At(500)));
  this->paths.OnUnreachable("h", At(500));
  CHECK_FALSE(this->paths.IsOpen("h", At(1'400)));
  this->paths.OnReached("h");
  CHECK(this->paths.IsOpen("h", At(1'400)));
}

}  // namespace
}  // namespace kingcupstair::health
