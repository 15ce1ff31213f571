#include "components/limits/shard.h"

#include <algorithm>
#include <tuple>

#include "components/base/hash.h"

namespace kingcupstair::limits {

ShardId ShardOf(std::string_view organisation) {
  return static_cast<ShardId>(StableHash(organisation) % kShardCount);
}

namespace {

/// Lenders of one pool: far from the sizes of fleets in use, so that a host
/// that comes or goes does not change the number of pools.
constexpr size_t kHostsPerPool = 64;

}  // namespace

size_t PoolCount(size_t hosts) {
  return std::clamp<size_t>((hosts + kHostsPerPool - 1) / kHostsPerPool, 1,
                            kShardCount);
}

size_t PoolOf(ShardId shard, size_t hosts) {
  return static_cast<size_t>(shard) % PoolCount(hosts);
}

std::optional<std::string> PoolHostOf(ShardId shard,
                                      const std::vector<PoolCandidate>& hosts) {
  const size_t pool = PoolOf(shard, hosts.size());
  const auto rank = [pool](const PoolCandidate& candidate) {
    const bool keeps = (candidate.kept >> pool & 1U) != 0;
    return std::tuple(keeps, StableHash(candidate.host, pool + 1),
                      candidate.host);
  };
  const auto best = std::max_element(
      hosts.begin(), hosts.end(),
      [&](const PoolCandidate& left, const PoolCandidate& right) {
        return rank(left) < rank(right);
      });
  return best == hosts.end() ? std::nullopt : std::optional(best->host);
}

}  // namespace kingcupstair::limits
