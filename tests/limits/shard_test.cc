#include "components/limits/shard.h"

#include <CppUTest/TestHarness.h>

#include <set>

namespace kingcupstair::limits {
namespace {

std::vector<std::string> Hosts(int count) {
  std::vector<std::string> hosts;
  for (int i = 0; i < count; ++i) {
    hosts.push_back("10.0.0." + std::to_string(i) + ":7000");
  }
  return hosts;
}

std::set<std::string> Pools(const std::vector<std::string>& hosts) {
  std::set<std::string> pools;
  for (ShardId shard = 0; shard < kShardCount; ++shard) {
    pools.insert(*PoolHostOf(shard, hosts));
  }
  return pools;
}

TEST_GROUP(Shard){};

// Load pattern: a few hosts are replaced, and for some seconds hosts know of
// different numbers of others. Views that pool differently lend nothing.
TEST(Shard, AFleetOfSomeDozenHostsKeepsOnePoolWhateverComesAndGoes) {
  for (int count = 1; count <= 60; ++count) {
    LONGS_EQUAL(1, Pools(Hosts(count)).size());
  }
}

TEST(Shard, ARegionOfTheSizeToDesignForHasSeveralPools) {
  CHECK(Pools(Hosts(203)).size() >= 3);
}

TEST(Shard, NobodyPoolsForNobody) {
  CHECK_FALSE(PoolHostOf(0, {}).has_value());
}

}  // namespace
}  // namespace kingcupstair::limits
