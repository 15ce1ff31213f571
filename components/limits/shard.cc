#include "components/limits/shard.h"

#include <algorithm>

#include "components/base/hash.h"

namespace kingcupstair::limits {

ShardId ShardOf(std::string_view organisation) {
  return static_cast<ShardId>(StableHash(organisation) % kShardCount);
}

namespace {

/// Lenders of one pool: far from the sizes of fleets in use, so that a host
/// that comes or goes does not change the number of pools.
constexpr size_t kHostsPerPool = 64;

uint64_t PoolSeed(ShardId shard, size_t hosts) {
  return static_cast<uint64_t>(shard) % PoolCount(hosts) + 1;
}

}  // namespace

size_t PoolCount(size_t hosts) {
  return std::clamp<size_t>((hosts + kHostsPerPool - 1) / kHostsPerPool, 1,
                            kShardCount);
}

std::optional<std::string> PoolHostOf(ShardId shard,
                                      const std::vector<std::string>& hosts) {
  std::optional<std::string> best;
  uint64_t best_hash = 0;
  const uint64_t seed = PoolSeed(shard, hosts.size());
  for (const std::string& host : hosts) {
    const uint64_t hash = StableHash(host, seed);
    const bool higher =
        hash > best_hash || (hash == best_hash && best && host < *best);
    if (!best.has_value() || higher) {
      best = host;
      best_hash = hash;
    }
  }
  return best;
}

}  // namespace kingcupstair::limits
