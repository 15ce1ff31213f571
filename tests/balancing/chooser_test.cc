#include "components/balancing/chooser.h"

#include <CppUTest/TestHarness.h>

#include <map>

#include "tests/support/times.h"

namespace kingcupstair::balancing {
namespace {

std::vector<Candidate> TwoCandidates() {
  return {
      {.view = {.id = "a", .zone = "z1", .limit = 4, .latency = Millis(5)}},
      {.view = {.id = "b", .zone = "z2", .limit = 4, .latency = Millis(5)}}};
}

std::map<std::string, int> CountChoices(
    const std::vector<Candidate>& candidates) {
  Chooser chooser({.own_zone = "z1", .seed = 1});
  std::map<std::string, int> counts;
  for (int i = 0; i < 1'000; ++i) {
    ++counts[chooser.Choose(candidates, {}).value_or("")];
  }
  return counts;
}

TEST_GROUP(Chooser){};

TEST(Chooser, PrefersTheLessLoadedUpstream) {
  auto candidates = TwoCandidates();
  candidates[0].view.in_flight = 4;
  CHECK(CountChoices(candidates)["b"] > 700);
}

TEST(Chooser, PrefersItsOwnZoneAtEqualLoad) {
  CHECK(CountChoices(TwoCandidates())["a"] > 700);
}

TEST(Chooser, LeavesOutTriedAndUnreachableUpstreams) {
  auto candidates = TwoCandidates();
  candidates[0].view.path_open = false;
  LONGS_EQUAL(1'000, CountChoices(candidates)["b"]);
  Chooser chooser({});
  CHECK_FALSE(chooser.Choose(candidates, {"b"}).has_value());
}

TEST(Chooser, GivesAnUpstreamOnTrialFewRequests) {
  auto candidates = TwoCandidates();
  candidates[1].on_trial = true;
  const int trials = CountChoices(candidates)["b"];
  CHECK(trials > 50 && trials < 200);
}

}  // namespace
}  // namespace kingcupstair::balancing
