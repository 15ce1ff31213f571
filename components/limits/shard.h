#ifndef COMPONENTS_LIMITS_SHARD_H_
#define COMPONENTS_LIMITS_SHARD_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupstair::limits {

/// A fixed part of all organisations, numbered from 0. Shares are lent by
/// shard, never by organisation.
using ShardId = int;

inline constexpr int kShardCount = 8;

/// The shard that `organisation` belongs to, the same on every host.
ShardId ShardOf(std::string_view organisation);

/// How many hosts of a region of `hosts` pool rates.
size_t PoolCount(size_t hosts);

/// The host among `hosts` that pools the rates of `shard`: the one with the
/// highest hash, so that a host that comes or goes moves only its own shards.
/// Few hosts have fewer pools than there are shards, so that each pool can ask
/// its lenders often. Nothing when `hosts` is empty.
std::optional<std::string> PoolHostOf(ShardId shard,
                                      const std::vector<std::string>& hosts);

}  // namespace kingcupstair::limits

#endif  // COMPONENTS_LIMITS_SHARD_H_
