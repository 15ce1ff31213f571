#include "components/limits/shard.h"

#include <CppUTest/TestHarness.h>

#include <set>

namespace kingcupstair::limits {
namespace {

std::vector<PoolCandidate> Hosts(int count) {
  std::vector<PoolCandidate> hosts;
  for (int i = 0; i < count; ++i) {
    hosts.push_back({.host = "10.0.0." + std::to_string(i) + ":7000"});
  }
  return hosts;
}

std::set<std::string> Pools(const std::vector<PoolCandidate>& hosts) {
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

// Load pattern: the host that pooled all rates crashes and is back two seconds
// later. The pool moved away and back again, each time with over a second in
// which nobody had permits.
TEST(Shard, AHostThatComesBackLeavesThePoolWhereItIs) {
  auto hosts = Hosts(28);
  const std::string first = *PoolHostOf(0, hosts);
  std::erase_if(hosts, [&](const PoolCandidate& candidate) {
    return candidate.host == first;
  });
  const std::string second = *PoolHostOf(0, hosts);
  for (PoolCandidate& candidate : hosts) {
    candidate.kept = candidate.host == second ? 1 : 0;
  }
  hosts.push_back({.host = first});
  STRCMP_EQUAL(second.c_str(), PoolHostOf(0, hosts)->c_str());
}

TEST(Shard, NobodyPoolsForNobody) {
  CHECK_FALSE(PoolHostOf(0, {}).has_value());
}

}  // namespace
}  // namespace kingcupstair::limits
