#include "components/events/timeline.h"

#include <CppUTest/TestHarness.h>

#include "components/events/event_ring.h"
#include "components/metrics/counters.h"

namespace kingcupstair::events {
namespace {

TEST_GROUP(Timeline){};

TEST(Timeline, SortsEventsByTimeAndKeepsTheOrderWithinEachHost) {
  const std::vector<Event> a{{.at_ms = 10, .kind = "a1"},
                             {.at_ms = 5, .kind = "a2"}};
  const std::vector<Event> b{{.at_ms = 7, .kind = "b1"}};
  const auto merged = MergeTimeline({a, b}, {});
  LONGS_EQUAL(3, merged.size());
  STRCMP_EQUAL("b1", merged[0].kind.c_str());
  STRCMP_EQUAL("a1", merged[1].kind.c_str());
  STRCMP_EQUAL("a2", merged[2].kind.c_str());
}

TEST(Timeline, FiltersByTimeOrganisationAndUpstream) {
  const std::vector<Event> events{
      {.at_ms = 1, .kind = "x", .organisation = "o"},
      {.at_ms = 2, .kind = "y", .upstream = "u"}};
  LONGS_EQUAL(1, MergeTimeline({events}, {.organisation = "o"}).size());
  LONGS_EQUAL(1, MergeTimeline({events}, {.upstream = "u"}).size());
  LONGS_EQUAL(0, MergeTimeline({events}, {.from_ms = 3}).size());
}

TEST(Timeline, DecodingRestoresAnEncodedEvent) {
  const Event event{.at_ms = 3, .host = "h", .kind = "k", .detail = "\"d\""};
  const auto read = DecodeEvent(EncodeEvent(event));
  CHECK(read.ok() && *read == event);
  CHECK_FALSE(DecodeEvent("{}").ok());
}

TEST(Timeline, TheRingMergesEqualEventsAndStaysBounded) {
  EventRing ring({.host = "h", .capacity = 3});
  for (int i = 0; i < 1'000; ++i) {
    ring.Add({.at_ms = i % 900, .kind = "refused", .organisation = "o"});
  }
  LONGS_EQUAL(1'000, ring.All().front().count);
  for (int i = 0; i < 5; ++i) {
    ring.Add({.at_ms = 0, .kind = std::to_string(i)});
  }
  LONGS_EQUAL(3, ring.All().size());
}

TEST(Timeline, CountersPrintTheirLabels) {
  metrics::Counters counters;
  counters.Add("n", {{.name = "a", .value = "b\"c"}}, 2);
  counters.Add("n", {{.name = "a", .value = "b\"c"}});
  STRCMP_EQUAL("n{a=\"b\\\"c\"} 3\n", counters.Text().c_str());
}

}  // namespace
}  // namespace kingcupstair::events
