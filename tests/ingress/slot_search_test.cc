#include "components/ingress/slot_search.h"

#include <CppUTest/TestHarness.h>

namespace kingcupstair::ingress {
namespace {

using Kind = SlotStep::Kind;

ChosenUpstream On(const std::string& upstream) {
  return {.upstream = upstream, .host = "host-of-" + upstream};
}

rpc::SlotAnswer Refused(once::RefusalReason reason, int in_flight = 0) {
  return {.refusal = {.reason = reason},
          .report = {.limit = 7},
          .in_flight = in_flight};
}

TEST_GROUP(SlotSearch){
    /// Refuses the next step at `upstream` and returns the kind of that step.
    static Kind Refuse(SlotSearch & search,
                       const std::string& upstream,
                       once::RefusalReason reason,
                       int in_flight = 0){const SlotStep step = search.Next();
search.OnRefused(step, On(upstream), Refused(reason, in_flight));
return step.kind;
}  // namespace
};  // namespace kingcupstair::ingress

// Load pattern: many ingresses get requests at the same time, and none of them
// knows what the others send. The requests must not all go to the one upstream
// whose last load report showed it as idle.
TEST(SlotSearch, TriesTheLeastLoadedOfSomeThatAreBusierThanUsual) {
  SlotSearch search({});
  const auto busier = once::RefusalReason::kBusierThanOthers;
  CHECK(Refuse(search, "a", busier, 5) == Kind::kTryIdle);
  CHECK(Refuse(search, "b", busier, 3) == Kind::kTryIdle);
  CHECK(Refuse(search, "c", busier, 4) == Kind::kTryIdle);
  const SlotStep step = search.Next();
  CHECK(step.kind == Kind::kTryLeastLoaded);
  STRCMP_EQUAL("b", step.choice.upstream.c_str());
}

TEST(SlotSearch, PrefersItsOwnZoneForTheFirstTriesOnly) {
  SlotSearch search({});
  const auto full = once::RefusalReason::kQueueFull;
  CHECK_FALSE(search.Next().any_zone);
  Refuse(search, "a", full);
  Refuse(search, "b", full);
  CHECK_FALSE(search.Next().any_zone);
  Refuse(search, "c", full);
  CHECK(search.Next().any_zone);
}

// Guards against requests that waited in the queue of a host when it was told
// to stop, and were refused although other upstreams were there
// (shutdown_test).
TEST(SlotSearch, AnUpstreamThatLeavesDoesNotEndTheSearch) {
  for (const auto reason :
       {once::RefusalReason::kDraining, once::RefusalReason::kConnectFailed}) {
    SlotSearch search({.max_tried_idle = 1, .max_tried = 3});
    Refuse(search, "a", once::RefusalReason::kQueueFull, 8);
    Refuse(search, "b", once::RefusalReason::kQueueFull, 9);
    Refuse(search, "c", once::RefusalReason::kUpstreamUnhealthy);
    SlotStep step = search.Next();
    CHECK(step.kind == Kind::kTryDoubtful);
    search.OnRefused(step, step.choice, Refused(reason));
    for (const char* upstream : {"a", "b"}) {
      step = search.Next();
      CHECK(step.kind == Kind::kQueue);
      STRCMP_EQUAL(upstream, step.choice.upstream.c_str());
      search.OnRefused(step, step.choice, Refused(reason));
    }
    CHECK(search.Next().kind == Kind::kGiveUp);
  }
}

// Load pattern: all slots of all upstreams are in use.
TEST(SlotSearch, QueuesOnceAtTheLeastLoadedUpstreamAndThenGivesUp) {
  SlotSearch search({.max_tried_idle = 1, .max_tried = 2});
  Refuse(search, "a", once::RefusalReason::kQueueFull, 9);
  Refuse(search, "b", once::RefusalReason::kQueueFull, 8);
  const SlotStep step = search.Next();
  CHECK(step.kind == Kind::kQueue);
  STRCMP_EQUAL("b", step.choice.upstream.c_str());
  search.OnRefused(step, step.choice,
                   Refused(once::RefusalReason::kQueueTimeout));
  CHECK(search.Next().kind == Kind::kGiveUp);
}

// Guards against a search by remaining work that asks as many busy upstreams as
// a search without reports, and against a queue that is short and slow.
TEST(SlotSearch, ASearchByRemainingWorkQueuesSoonWhereTheWorkEndsFirst) {
  SlotSearch search({.max_tried_idle = 0,
                     .max_without_free_slot = 2,
                     .by_remaining_work = true});
  for (const int i : {1, 2}) {
    rpc::SlotAnswer answer = Refused(once::RefusalReason::kQueueFull, 7 + i);
    answer.report.remaining_work = std::chrono::milliseconds(90 / i);
    CHECK(search.Next().kind == Kind::kTryFree);
    search.OnRefused(search.Next(), On(std::to_string(i)), answer);
  }
  CHECK(search.Next().kind == Kind::kQueue);
  STRCMP_EQUAL("2", search.Next().choice.upstream.c_str());
}

TEST(SlotSearch, UsesAnUnhealthyUpstreamAsTheLastResort) {
  SlotSearch search({.max_tried_idle = 1, .max_tried = 3});
  Refuse(search, "a", once::RefusalReason::kUpstreamUnhealthy);
  CHECK(search.Next().kind == Kind::kTryFree);
  search.OnNoCandidate();
  const SlotStep step = search.Next();
  CHECK(step.kind == Kind::kLastResort);
  STRCMP_EQUAL("a", step.choice.upstream.c_str());
}

TEST(SlotSearch, TheLastResortIsTheUpstreamLeastLikelyToFail) {
  SlotSearch search({.max_tried_idle = 3, .max_tried = 3});
  for (const auto& [upstream, probability] :
       {std::pair("a", 0.9), std::pair("b", 0.3), std::pair("c", 0.7)}) {
    rpc::SlotAnswer answer = Refused(once::RefusalReason::kUpstreamUnhealthy);
    answer.report.failure_probability = probability;
    search.OnRefused(search.Next(), On(upstream), answer);
  }
  const SlotStep step = search.Next();
  CHECK(step.kind == Kind::kLastResort);
  STRCMP_EQUAL("b", step.choice.upstream.c_str());
}

// Load pattern: all healthy upstreams are busy, and some are merely suspected.
TEST(SlotSearch, UsesADoubtfulUpstreamBeforeItQueues) {
  SlotSearch search({.max_tried_idle = 2, .max_tried = 2});
  rpc::SlotAnswer doubtful = Refused(once::RefusalReason::kUpstreamUnhealthy);
  doubtful.report.failure_probability = 0.3;
  search.OnRefused(search.Next(), On("a"), doubtful);
  Refuse(search, "b", once::RefusalReason::kQueueFull);
  const SlotStep step = search.Next();
  CHECK(step.kind == Kind::kTryDoubtful);
  STRCMP_EQUAL("a", step.choice.upstream.c_str());
  search.OnRefused(step, step.choice, Refused(once::RefusalReason::kQueueFull));
  CHECK(search.Next().kind == Kind::kQueue);
}

TEST(SlotSearch, DoesNotUseUnhealthyUpstreamsWhileHealthyOnesAreBusy) {
  SlotSearch search({.max_tried_idle = 1, .max_tried = 2});
  rpc::SlotAnswer unhealthy = Refused(once::RefusalReason::kUpstreamUnhealthy);
  unhealthy.report.failure_probability = 0.9;
  search.OnRefused(search.Next(), On("a"), unhealthy);
  Refuse(search, "b", once::RefusalReason::kQueueFull);
  CHECK(search.Next().kind == Kind::kQueue);
}

TEST(SlotSearch, AHedgeNeitherQueuesNorUsesUnhealthyUpstreams) {
  SlotSearch search({.max_tried_idle = 1,
                     .max_tried = 2,
                     .may_wait = false,
                     .may_use_unhealthy = false});
  Refuse(search, "a", once::RefusalReason::kUpstreamUnhealthy);
  Refuse(search, "b", once::RefusalReason::kQueueFull);
  CHECK(search.Next().kind == Kind::kGiveUp);
}

}  // namespace
}  // namespace kingcupstair::ingress
