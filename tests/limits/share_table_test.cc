#include "components/limits/share_table.h"

#include <CppUTest/TestHarness.h>

namespace kingcupstair::limits {
namespace {

int64_t Sum(const ShareTable& table) {
  int64_t sum = 0;
  for (const auto& [host, entry] : table.hosts()) {
    sum += entry.parts;
  }
  return sum;
}

TEST_GROUP(ShareTable) {
  ShareTable table;

  void setup() override {
    this->table.AddOrUpdateHost("a", {.zone = "z1"});
    this->table.AddOrUpdateHost("b", {.zone = "z2"});
    this->table.AddOrUpdateHost("c", {.zone = "z2"});
  }
};

TEST(ShareTable, TheFirstHostGetsAllPartsAndLaterHostsNone) {
  LONGS_EQUAL(kTotalParts, this->table.Find("a")->parts);
  LONGS_EQUAL(0, this->table.Find("b")->parts);
}

TEST(ShareTable, MovesLeadToEqualSharesAndKeepTheSum) {
  while (const auto move = this->table.NextMove("a")) {
    CHECK(this->table.Apply(*move));
  }
  DOUBLES_EQUAL(1.0 / 3, this->table.Fraction("b"), 0.02);
  LONGS_EQUAL(kTotalParts, Sum(this->table));
  CHECK_FALSE(this->table.NextMove("b").has_value());
}

// Load pattern: a few hosts join a fleet of some dozen hosts. A fifth of
// every rate limit was out of use for half a minute while parts were in
// transfer to the new hosts.
TEST(ShareTable, AFewNewHostsInALargeFleetCauseNoMove) {
  std::map<std::string, ShareEntry> hosts;
  for (int i = 0; i < 27; ++i) {
    hosts["h" + std::to_string(i)] = {};
  }
  ShareTable fleet = ShareTable::EqualShares(hosts);
  for (int i = 0; i < 5; ++i) {
    fleet.AddOrUpdateHost("new" + std::to_string(i), {});
  }
  CHECK_FALSE(fleet.NextMove("h0").has_value());
  for (int i = 0; i < 27; ++i) {
    fleet.AddOrUpdateHost("more" + std::to_string(i), {});
  }
  CHECK(fleet.NextMove("h0").has_value());
}

TEST(ShareTable, JoiningAgainKeepsTheShare) {
  CHECK_FALSE(this->table.AddOrUpdateHost("a", {.zone = "z1"}));
  CHECK(this->table.AddOrUpdateHost("a", {.zone = "z3"}));
  LONGS_EQUAL(kTotalParts, this->table.Find("a")->parts);
}

TEST(ShareTable, RefusesAMoveOfMorePartsThanTheHostHas) {
  CHECK_FALSE(this->table.Apply({.from = "b", .to = "a", .parts = 1}));
}

TEST(ShareTable, DistributesTheShareOfARemovedHost) {
  CHECK(this->table.Remove("a"));
  LONGS_EQUAL(kTotalParts, Sum(this->table));
  CHECK(this->table.Remove("b"));
  CHECK_FALSE(this->table.Remove("c"));
}

TEST(ShareTable, DecodesItsEncodingAndRefusesMoreThanTheWhole) {
  const auto read = DecodeShareTable(EncodeShareTable(this->table));
  CHECK(read.ok() && *read == this->table);
  CHECK_FALSE(DecodeShareTable("nonsense").ok());
  const std::string doubled =
      R"({"hosts":{"a":{"parts":1000000000,"zone":"","region":"","admin":""},)"
      R"("b":{"parts":1,"zone":"","region":"","admin":""}}})";
  CHECK_FALSE(DecodeShareTable(doubled).ok());
}

}  // namespace
}  // namespace kingcupstair::limits
