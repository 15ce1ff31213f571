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

// Load pattern: a few hosts are replaced, and for some seconds the hosts have
// directories of different sizes. Hosts that derive different pool hosts from
// their directories lend nothing to each other.
TEST(Shard, AFleetOfSomeDozenHostsAlwaysHasOnePool) {
  for (int count = 1; count <= 60; ++count) {
    LONGS_EQUAL(1, Pools(Hosts(count)).size());
  }
}

TEST(Shard, ARegionOfTheDesignSizeHasSeveralPools) {
  CHECK(Pools(Hosts(203)).size() >= 3);
}

// Load pattern: the only pool host crashes and restarts two seconds later. The
// pool moved to another host and back again, each time with over a second
// without permits.
TEST(Shard, ARestartedHostDoesNotTakeItsPoolBack) {
  auto hosts = Hosts(28);
  const std::string crashed = *PoolHostOf(0, hosts);
  std::erase_if(hosts, [&](const PoolCandidate& candidate) {
    return candidate.host == crashed;
  });
  const std::string successor = *PoolHostOf(0, hosts);
  for (PoolCandidate& candidate : hosts) {
    candidate.incumbent_pool_mask = candidate.host == successor ? 1 : 0;
  }
  hosts.push_back({.host = crashed});
  STRCMP_EQUAL(successor.c_str(), PoolHostOf(0, hosts)->c_str());
}

TEST(Shard, AnEmptyRegionHasNoPoolHost) {
  CHECK_FALSE(PoolHostOf(0, {}).has_value());
}

}  // namespace
}  // namespace kingcupstair::limits
