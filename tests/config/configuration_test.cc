#include "components/config/configuration.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "components/base/hash.h"
#include "components/config/chunks.h"
#include "components/config/edit.h"

namespace kingcupstair::config {
namespace {

std::string Rules() {
  return "# a comment\n"
         "service lote floor 0.5 slots 7 # asked by: Rosa\n"
         "route GET /lote service lote idempotent deadline 2s # asked by: "
         "Rosa\n"
         "route GET /lote/open service lote idempotent open # asked by: Rosa\n"
         "\n"
         "organisation growers rate 5 burst 2 key sha256:" +
         Sha256Hex("key") + " # asked by: Julia\n";
}

Configuration Sound(const std::string& text) {
  auto built = Configuration::Build(1, text);
  CHECK(std::holds_alternative<Configuration>(built));
  return std::get<Configuration>(std::move(built));
}

std::string FirstFault(const std::string& text) {
  const auto built = Configuration::Build(1, text);
  const auto* faults = std::get_if<std::vector<RuleError>>(&built);
  return faults == nullptr ? "" : ToText(faults->front());
}

TEST_GROUP(Configuration){};

TEST(Configuration, FindsRoutesByTheLongestPrefixOfWholeSegments) {
  const Configuration config = Sound(Rules());
  CHECK(config.FindRoute("any.example", "GET", "/lote/7?x=1")->access ==
        Access::kKeyed);
  CHECK(config.FindRoute("any.example", "GET", "/lote/open/7")->access ==
        Access::kOpen);
  CHECK(config.FindRoute("any.example", "GET", "/lotes") == nullptr);
  CHECK(config.FindRoute("any.example", "POST", "/lote") == nullptr);
}

// A path without a slash once kept the search from ending.
TEST(Configuration, APathThatIsNoPathHasNoRoute) {
  const Configuration config = Sound(Rules());
  for (const char* path : {"", "a:80", "http:", "*", "?x", "lote"}) {
    CHECK(config.FindRoute("any.example", "GET", path) == nullptr);
  }
}

TEST(Configuration, RoutesOfAHostGoBeforeThoseOfAnyHost) {
  const Configuration config = Sound(
      "service a # asked by: R\nservice b # asked by: R\n"
      "route ANY /x service a # asked by: R\n"
      "route ANY / host b.example service b # asked by: R\n");
  const auto service_at = [&](const char* host) {
    return config.FindRoute(host, "GET", "/x/1")->parts[0].service;
  };
  STRCMP_EQUAL("a", service_at("other.example").c_str());
  STRCMP_EQUAL("b", service_at("b.example").c_str());
}

TEST(Configuration, APrefixWithALastSlashCoversOnlyWhatLiesBelow) {
  const Configuration config = Sound(
      "service a # asked by: R\n"
      "route GET /x/ service a # asked by: R\n");
  CHECK(config.FindRoute("h", "GET", "/x/1") != nullptr);
  CHECK(config.FindRoute("h", "GET", "/x/") != nullptr);
  CHECK(config.FindRoute("h", "GET", "/x") == nullptr);
}

TEST(Configuration, ARouteMayBeSplitByWeight) {
  const Configuration config = Sound(
      "service a # asked by: R\nservice b # asked by: R\n"
      "route GET /x split a 90 split b 10 # asked by: R\n");
  LONGS_EQUAL(2, config.FindRoute("h", "GET", "/x")->parts.size());
  STRCMP_EQUAL("line 1, column 1: no service 'a'",
               FirstFault("route GET /x split a 1 # asked by: R\n").c_str());
}

TEST(Configuration, FindsTheOrganisationByTheDigestOfItsKey) {
  const Configuration config = Sound(Rules());
  STRCMP_EQUAL("growers",
               config.FindByKeyDigest(Sha256Hex("key"))->name.c_str());
  CHECK(config.FindByKeyDigest(Sha256Hex("other")) == nullptr);
}

TEST(Configuration, NamesLineColumnAndReasonOfAFault) {
  STRCMP_EQUAL("line 1, column 20: 'x' is no floor from 0 to 1",
               FirstFault("service lote floor x # asked by: R\n").c_str());
  STRCMP_EQUAL("line 1, column 15: a rule ends in '# asked by: NAME'",
               FirstFault("zone aqp-1 out\n").c_str());
  STRCMP_EQUAL("line 2, column 1: no service 'b'",
               FirstFault("service a # asked by: R\n"
                          "route GET /x service b # asked by: R\n")
                   .c_str());
  STRCMP_EQUAL(
      "line 1, column 1: expected 'service', 'route', "
      "'organisation', 'callers', 'zone' or 'upstream'",
      FirstFault("servce a # asked by: R\n").c_str());
}

TEST(Configuration, RefusesWhatStandsTwice) {
  CHECK(FirstFault(Rules() + Rules()).find("stands twice") !=
        std::string::npos);
  const std::string same_key =
      "organisation other rate 1 burst 1 key sha256:" + Sha256Hex("key") +
      " # asked by: R\n";
  STRCMP_EQUAL(
      "line 7, column 1: this key is already that of organisation 'growers'",
      FirstFault(Rules() + same_key).c_str());
}

TEST(Configuration, TakesOutAndBackInByEditingTheText) {
  const std::string out = WithOut(Rules(), OutKind::kZone, "aqp-1", "Rosa");
  CHECK(Sound(out).IsZoneOut("aqp-1"));
  CHECK(WithOut(out, OutKind::kZone, "aqp-1", "Julia") == out);
  CHECK(WithBackIn(out, OutKind::kZone, "aqp-1") == Rules());
  STRCMP_EQUAL("+zone aqp-1 out # asked by: Rosa\n",
               DescribeDifference(Rules(), out).c_str());
}

TEST(Configuration, AChangeOfOneLineChangesAtMostTwoChunks) {
  std::string text;
  for (int i = 0; i < 5'000; ++i) {
    text += "organisation o" + std::to_string(i) +
            " rate 1 burst 1 # asked by: R\n";
  }
  std::string changed = text;
  changed.replace(changed.find("o2500 rate 1"), 12, "o2500 rate 9");
  const auto before = SplitIntoChunks(text);
  const auto after = SplitIntoChunks(changed);
  std::string joined;
  size_t alike = 0;
  for (const Chunk& chunk : after) {
    joined += chunk.text;
    alike +=
        static_cast<size_t>(std::count(before.begin(), before.end(), chunk));
  }
  CHECK(joined == changed);
  CHECK(before.size() > 10);
  CHECK(alike + 2 >= after.size());
}

}  // namespace
}  // namespace kingcupstair::config
