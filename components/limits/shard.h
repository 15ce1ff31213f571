#ifndef COMPONENTS_LIMITS_SHARD_H_
#define COMPONENTS_LIMITS_SHARD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupstair::limits {

/// Number of a shard, a fixed group of organisations by hash, counted from 0.
/// Shares are lent by shard, never by organisation.
using ShardId = int;

inline constexpr int kShardCount = 8;

/// Returns the shard of `organisation`, the same on every host.
ShardId ShardOf(std::string_view organisation);

/// Returns the number of pools in a region of `host_count` hosts. Each pool has
/// one pool host.
size_t PoolCount(size_t host_count);

/// Returns the pool that serves `shard` in a region of `host_count` hosts,
/// from 0 to below PoolCount.
size_t PoolOf(ShardId shard, size_t host_count);

/// Host that can be a pool host.
struct PoolCandidate {
  std::string host;
  /// Pools that the host reports to serve already, as a bit mask.
  uint32_t incumbent_pool_mask = 0;

  bool operator==(const PoolCandidate&) const = default;
};

/// Returns the pool host of `shard` among `hosts`, or nothing if `hosts` is
/// empty. The pool host is the host with the highest hash among those that
/// already serve this pool, or among all hosts if none does. A host that comes
/// back therefore leaves the pool where it is: moving a pool costs a second
/// without permits. A region of few hosts has fewer pools than shards, so that
/// each pool host can request loans from its lenders often.
std::optional<std::string> PoolHostOf(ShardId shard,
                                      const std::vector<PoolCandidate>& hosts);

}  // namespace kingcupstair::limits

#endif  // COMPONENTS_LIMITS_SHARD_H_
