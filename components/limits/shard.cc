#include "components/limits/shard.h"

#include "components/base/hash.h"

namespace kingcupstair::limits {

ShardId ShardOf(std::string_view organisation) {
  return static_cast<ShardId>(StableHash(organisation) % kShardCount);
}

std::optional<std::string> PoolHostOf(ShardId shard,
                                      const std::vector<std::string>& hosts) {
  std::optional<std::string> best;
  uint64_t best_hash = 0;
  for (const std::string& host : hosts) {
    const uint64_t hash = StableHash(host, static_cast<uint64_t>(shard) + 1);
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
