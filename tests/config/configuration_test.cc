#include "components/config/configuration.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "components/base/hash.h"
#include "components/config/chunks.h"
#include "components/config/edit.h"
#include "components/config/valid_rules.h"
#include "components/config/words.h"

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

Configuration BuildValid(const std::string& text) {
  auto built = Configuration::Build(1, text);
  CHECK(std::holds_alternative<Configuration>(built));
  return std::get<Configuration>(std::move(built));
}

std::string FirstError(const std::string& text) {
  const auto built = Configuration::Build(1, text);
  const auto* errors = std::get_if<std::vector<RuleError>>(&built);
  return errors == nullptr ? "" : ToText(errors->front());
}

TEST_GROUP(Configuration){};

TEST(Configuration, FindsRouteWithLongestPrefixOfWholeSegments) {
  const Configuration config = BuildValid(Rules());
  CHECK(config.FindRoute("any.example", "GET", "/lote/7?x=1")->access ==
        Access::kKeyed);
  CHECK(config.FindRoute("any.example", "GET", "/lote/open/7")->access ==
        Access::kOpen);
  CHECK(config.FindRoute("any.example", "GET", "/lotes") == nullptr);
  CHECK(config.FindRoute("any.example", "POST", "/lote") == nullptr);
}

// Guards against an endless loop in the search for a route. The loop occurred
// for a path without a slash.
TEST(Configuration, InvalidPathHasNoRoute) {
  const Configuration config = BuildValid(Rules());
  for (const char* path : {"", "a:80", "http:", "*", "?x", "lote"}) {
    CHECK(config.FindRoute("any.example", "GET", path) == nullptr);
  }
}

TEST(Configuration, RoutesForHostPrecedeRoutesForAnyHost) {
  const Configuration config = BuildValid(
      "service a # asked by: R\nservice b # asked by: R\n"
      "route ANY /x service a # asked by: R\n"
      "route ANY / host b.example service b # asked by: R\n");
  const auto service_at = [&](const char* host) {
    return config.FindRoute(host, "GET", "/x/1")->services[0].service;
  };
  STRCMP_EQUAL("a", service_at("other.example").c_str());
  STRCMP_EQUAL("b", service_at("b.example").c_str());
}

TEST(Configuration, PrefixWithTrailingSlashCoversOnlyPathsBelow) {
  const Configuration config = BuildValid(
      "service a # asked by: R\n"
      "route GET /x/ service a # asked by: R\n");
  CHECK(config.FindRoute("h", "GET", "/x/1") != nullptr);
  CHECK(config.FindRoute("h", "GET", "/x/") != nullptr);
  CHECK(config.FindRoute("h", "GET", "/x") == nullptr);
}

TEST(Configuration, RouteMayBeSplitByWeight) {
  const Configuration config = BuildValid(
      "service a # asked by: R\nservice b # asked by: R\n"
      "route GET /x split a 90 split b 10 # asked by: R\n");
  LONGS_EQUAL(2, config.FindRoute("h", "GET", "/x")->services.size());
  STRCMP_EQUAL("line 1, column 1: undefined service 'a'",
               FirstError("route GET /x split a 1 # asked by: R\n").c_str());
}

TEST(Configuration, FindsOrganisationByKeyDigest) {
  const Configuration config = BuildValid(Rules());
  STRCMP_EQUAL("growers",
               config.FindByKeyDigest(Sha256Hex("key"))->name.c_str());
  CHECK(config.FindByKeyDigest(Sha256Hex("other")) == nullptr);
}

TEST(Configuration, ErrorHasLineColumnAndReason) {
  STRCMP_EQUAL(
      "line 1, column 20: 'x' is not a valid floor; expected a number from 0 "
      "to 1",
      FirstError("service lote floor x # asked by: R\n").c_str());
  STRCMP_EQUAL("line 1, column 15: a rule must end in '# asked by: NAME'",
               FirstError("zone aqp-1 out\n").c_str());
  STRCMP_EQUAL("line 2, column 1: undefined service 'b'",
               FirstError("service a # asked by: R\n"
                          "route GET /x service b # asked by: R\n")
                   .c_str());
  STRCMP_EQUAL(
      "line 1, column 1: expected 'service', 'route', "
      "'organisation', 'callers', 'zone', 'upstream' or 'rollout'",
      FirstError("servce a # asked by: R\n").c_str());
}

TEST(Configuration, RejectsDuplicates) {
  CHECK(FirstError(Rules() + Rules()).find("stands twice") !=
        std::string::npos);
  const std::string same_key =
      "organisation other rate 1 burst 1 key sha256:" + Sha256Hex("key") +
      " # asked by: R\n";
  STRCMP_EQUAL(
      "line 7, column 1: this key already belongs to organisation 'growers'",
      FirstError(Rules() + same_key).c_str());
}

TEST(Configuration, AWordInQuotesMayHaveSpacesAndMarks) {
  const std::string name = "the # \"lote\" \\ of Rosa";
  const Configuration config =
      BuildValid("service " + QuoteWord(name) + " # asked by: R # S\n");
  CHECK(config.FindService(name) != nullptr);
  const std::string out = AddOutRule("", OutRuleKind::kZone, name, "Rosa");
  CHECK(BuildValid(out).IsZoneOutOfService(name));
  STRCMP_EQUAL("", RemoveOutRules(out, OutRuleKind::kZone, name).c_str());
}

TEST(Configuration, ValidRulesAreKeptWithoutThoseThatAreNot) {
  const ValidRules valid =
      KeepValidRules(Rules() + "servce a # asked by: R\n" +
                     "route GET /x service b # asked by: R\n" +
                     "zone aqp-1 out # asked by: R\n");
  LONGS_EQUAL(2, valid.left_out.size());
  CHECK(BuildValid(valid.text).IsZoneOutOfService("aqp-1"));
  CHECK(KeepValidRules(Rules()) == ValidRules({.text = Rules()}));
}

TEST(Configuration, EditsTextToTakeZoneOutAndBackIn) {
  const std::string out =
      AddOutRule(Rules(), OutRuleKind::kZone, "aqp-1", "Rosa");
  CHECK(BuildValid(out).IsZoneOutOfService("aqp-1"));
  CHECK(AddOutRule(out, OutRuleKind::kZone, "aqp-1", "Julia") == out);
  CHECK(RemoveOutRules(out, OutRuleKind::kZone, "aqp-1") == Rules());
  STRCMP_EQUAL("+zone aqp-1 out # asked by: Rosa\n",
               DescribeDifference(Rules(), out).c_str());
}

TEST(Configuration, ARolloutNamesServiceVersionAndTime) {
  const std::string order = "rollout lote version v2 within 15s";
  const Configuration config = BuildValid(Rules() + order + " # asked by: R\n");
  const RolloutRule expected{
      .service = "lote", .version = "v2", .within = std::chrono::seconds(15)};
  CHECK(config.rollouts().at("lote") == expected);
  CHECK(BuildValid(Rules()).rollouts().empty());
  // Two orders of one service, or one without a version, state no target.
  CHECK_FALSE(FirstError(Rules() + order + " # asked by: R\n" + order +
                         " # asked by: R\n")
                  .empty());
  CHECK_FALSE(FirstError("rollout lote within 15s # asked by: R\n").empty());
}

TEST(Configuration, ChangeOfOneLineChangesAtMostTwoChunks) {
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
  size_t unchanged_count = 0;
  for (const Chunk& chunk : after) {
    joined += chunk.text;
    unchanged_count +=
        static_cast<size_t>(std::count(before.begin(), before.end(), chunk));
  }
  CHECK(joined == changed);
  CHECK(before.size() > 10);
  CHECK(unchanged_count + 2 >= after.size());
}

}  // namespace
}  // namespace kingcupstair::config
