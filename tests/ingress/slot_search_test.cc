#include "components/ingress/slot_search.h"

#include <CppUTest/TestHarness.h>

namespace kingcupstair::ingress {
namespace {

using Kind = SlotStep::Kind;

Choice On(const std::string& upstream) {
  return {.upstream = upstream, .host = "host-of-" + upstream};
}

rpc::SlotAnswer Refused(once::RefusalReason reason, int in_flight = 0) {
  return {.refusal = {.reason = reason},
          .report = {.limit = 7},
          .in_flight = in_flight};
}

TEST_GROUP(SlotSearch){
    /// Refuses the next step at `upstream` and gives the kind of that step.
    static Kind Refuse(SlotSearch & search,
                       const std::string& upstream,
                       once::RefusalReason reason,
                       int in_flight = 0){const SlotStep step = search.Next();
search.OnRefused(step, On(upstream), Refused(reason, in_flight));
return step.kind;
}  // namespace
};  // namespace kingcupstair::ingress

// Load pattern: a clump of requests at many ingresses, none of which knows what
// the others send. All must not end at the one upstream that looked idle last.
TEST(SlotSearch, TakesTheLeastBusyOfSomeThatAreBusierThanUsual) {
  SlotSearch search({});
  const auto busier = once::RefusalReason::kBusierThanOthers;
  CHECK(Refuse(search, "a", busier, 5) == Kind::kAskIdle);
  CHECK(Refuse(search, "b", busier, 3) == Kind::kAskIdle);
  CHECK(Refuse(search, "c", busier, 4) == Kind::kAskIdle);
  const SlotStep step = search.Next();
  CHECK(step.kind == Kind::kTakeLeast);
  STRCMP_EQUAL("b", step.choice.upstream.c_str());
}

TEST(SlotSearch, StaysInItsZoneForTheFirstAsksOnly) {
  SlotSearch search({});
  const auto full = once::RefusalReason::kQueueFull;
  CHECK_FALSE(search.Next().any_zone);
  Refuse(search, "a", full);
  Refuse(search, "b", full);
  CHECK_FALSE(search.Next().any_zone);
  Refuse(search, "c", full);
  CHECK(search.Next().any_zone);
}

// Load pattern: every upstream has its slots in use.
TEST(SlotSearch, WaitsOnceInTheShortestQueueAndThenGivesUp) {
  SlotSearch search({.max_asked_idle = 1, .max_asked = 2});
  Refuse(search, "a", once::RefusalReason::kQueueFull, 9);
  Refuse(search, "b", once::RefusalReason::kQueueFull, 8);
  const SlotStep step = search.Next();
  CHECK(step.kind == Kind::kWait);
  STRCMP_EQUAL("b", step.choice.upstream.c_str());
  search.OnRefused(step, step.choice,
                   Refused(once::RefusalReason::kQueueTimeout));
  CHECK(search.Next().kind == Kind::kGiveUp);
}

TEST(SlotSearch, AnUpstreamThatLooksUnwellIsTheLastResort) {
  SlotSearch search({.max_asked_idle = 1, .max_asked = 3});
  Refuse(search, "a", once::RefusalReason::kLooksUnwell);
  CHECK(search.Next().kind == Kind::kAskFree);
  search.OnNoChoice();
  const SlotStep step = search.Next();
  CHECK(step.kind == Kind::kLastResort);
  STRCMP_EQUAL("a", step.choice.upstream.c_str());
}

TEST(SlotSearch, WhileSoundOnesAreBusyTheUnwellAreLeftAlone) {
  SlotSearch search({.max_asked_idle = 1, .max_asked = 2});
  Refuse(search, "a", once::RefusalReason::kLooksUnwell);
  Refuse(search, "b", once::RefusalReason::kQueueFull);
  CHECK(search.Next().kind == Kind::kWait);
}

TEST(SlotSearch, AHedgeNeitherWaitsNorTriesWhatLooksUnwell) {
  SlotSearch search({.max_asked_idle = 1,
                     .max_asked = 2,
                     .may_wait = false,
                     .may_use_unwell = false});
  Refuse(search, "a", once::RefusalReason::kLooksUnwell);
  Refuse(search, "b", once::RefusalReason::kQueueFull);
  CHECK(search.Next().kind == Kind::kGiveUp);
}

}  // namespace
}  // namespace kingcupstair::ingress
