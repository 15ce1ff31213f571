#ifndef COMPONENTS_LIMITS_SHARD_H_
#define COMPONENTS_LIMITS_SHARD_H_

#include <cstdint>
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

/// The pool, of so many, that `shard` belongs to.
size_t PoolOf(ShardId shard, size_t hosts);

/// A host that can pool rates.
struct PoolCandidate {
  std::string host;
  /// The pools that it says it keeps, a bit each.
  uint32_t kept = 0;

  bool operator==(const PoolCandidate&) const = default;
};

/// The host among `hosts` that pools the rates of `shard`: the one with the
/// highest hash of those that keep the pool, or of all when nobody does. A host
/// that comes back so leaves the pool where it is: to move it costs a second
/// without permits. Few hosts have fewer pools than there are shards, so that
/// each pool can ask its lenders often. Nothing when `hosts` is empty.
std::optional<std::string> PoolHostOf(ShardId shard,
                                      const std::vector<PoolCandidate>& hosts);

}  // namespace kingcupstair::limits

#endif  // COMPONENTS_LIMITS_SHARD_H_
