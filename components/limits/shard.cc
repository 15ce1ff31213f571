#include "components/limits/shard.h"

#include <algorithm>
#include <tuple>

#include "components/base/hash.h"

namespace kingcupstair::limits {

ShardId ShardOf(std::string_view organisation) {
  return static_cast<ShardId>(StableHash(organisation) % kShardCount);
}

namespace {

// Lenders of one pool. The value is far from the sizes of fleets in use, so a
// host that joins or leaves does not change the number of pools.
constexpr size_t kHostsPerPool = 64;

}  // namespace

size_t PoolCount(size_t host_count) {
  return std::clamp<size_t>((host_count + kHostsPerPool - 1) / kHostsPerPool, 1,
                            kShardCount);
}

size_t PoolOf(ShardId shard, size_t host_count) {
  return static_cast<size_t>(shard) % PoolCount(host_count);
}

std::optional<std::string> PoolHostOf(ShardId shard,
                                      const std::vector<PoolCandidate>& hosts) {
  const size_t pool = PoolOf(shard, hosts.size());
  const auto rank = [pool](const PoolCandidate& candidate) {
    const bool is_incumbent = (candidate.incumbent_pool_mask >> pool & 1U) != 0;
    return std::tuple(is_incumbent, StableHash(candidate.host, pool + 1),
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
