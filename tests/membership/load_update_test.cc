#include "components/membership/load_update.h"

#include <CppUTest/TestHarness.h>

#include "components/membership/directory.h"
#include "tests/support/times.h"

namespace kingcupstair::membership {
namespace {

HostRecord MakeRecord(const std::string& host, const std::string& zone) {
  return {.host = host,
          .incarnation = 5,
          .version = 1,
          .zone = zone,
          .upstreams = {{.id = host + "-1", .service = "lote", .limit = 15}}};
}

HostRecord WithLimit(HostRecord record, int limit) {
  record.upstreams.front().limit = limit;
  return record;
}

TEST_GROUP(LoadUpdate) {
  Directory sender{{.load_scope = LoadScope::kZone},
                   MakeRecord("sender", "arequipa-1"),
                   At(0)};
  Directory receiver{{.load_scope = LoadScope::kZone},
                     MakeRecord("receiver", "arequipa-1"),
                     At(0)};

  void ChangeLimit(int limit, int64_t at_ms) {
    this->sender.UpdateOwn(WithLimit(this->sender.own(), limit), At(at_ms));
  }

  int LimitAtReceiver() {
    for (const HostRecord& record : this->receiver.HostsNotDead()) {
      if (record.host == "sender") {
        return record.upstreams.front().limit;
      }
    }
    return 0;
  }

  void Exchange(int64_t at_ms) {
    this->receiver.MergeLoads(this->sender.RecentLoads(At(at_ms)), At(at_ms));
  }
};

// Load records of a hundred hosts, each sent to all others, were the largest
// part of the bytes between zones.
TEST(LoadUpdate, AChangedLoadRaisesNoVersion) {
  const uint64_t digest = this->sender.Digest();
  this->ChangeLimit(3, 1'000);
  LONGS_EQUAL(digest, this->sender.Digest());
  LONGS_EQUAL(1, this->sender.RecentLoads(At(1'000)).size());
}

TEST(LoadUpdate, ReachesHostsThatHaveTheRecord) {
  this->receiver.Merge({.record = this->sender.own()}, At(0));
  this->ChangeLimit(3, 1'000);
  this->Exchange(1'000);
  LONGS_EQUAL(3, this->LimitAtReceiver());
  LONGS_EQUAL(1, this->receiver.applied_load_count());
}

// Messages between hosts may overtake each other.
TEST(LoadUpdate, AnOlderLoadIsIgnored) {
  this->receiver.Merge({.record = this->sender.own()}, At(0));
  this->ChangeLimit(3, 1'000);
  const auto older = this->sender.RecentLoads(At(1'000));
  this->ChangeLimit(9, 2'000);
  this->Exchange(2'000);
  this->receiver.MergeLoads(older, At(2'100));
  LONGS_EQUAL(9, this->LimitAtReceiver());
}

// The loads are in the order of the upstreams of one version.
TEST(LoadUpdate, ALoadOfAnotherVersionIsIgnored) {
  HostRecord other = this->sender.own();
  other.version = 2;
  this->receiver.Merge({.record = other}, At(0));
  this->ChangeLimit(3, 1'000);
  this->Exchange(1'000);
  LONGS_EQUAL(15, this->LimitAtReceiver());
}

// Hosts of other zones would otherwise keep the loads of the last version.
TEST(LoadUpdate, LoadsReachOtherZonesWithANewVersionInTheEnd) {
  this->ChangeLimit(3, 1'000);
  this->ChangeLimit(9, 30'000);
  LONGS_EQUAL(2, this->sender.own().version);
  LONGS_EQUAL(0, this->sender.own().load_sequence);
}

TEST(LoadUpdate, AnUpstreamThatJoinsRaisesTheVersion) {
  HostRecord grown = this->sender.own();
  grown.upstreams.push_back({.id = "sender-2", .service = "lote"});
  this->sender.UpdateOwn(grown, At(1'000));
  LONGS_EQUAL(2, this->sender.own().version);
}

TEST(LoadUpdate, ScopeFollowsTheLink) {
  CHECK(LoadScopeFor(0) == LoadScope::kFleet);
  CHECK(LoadScopeFor(1'000) == LoadScope::kFleet);
  CHECK(LoadScopeFor(10) == LoadScope::kZone);
}

}  // namespace
}  // namespace kingcupstair::membership
