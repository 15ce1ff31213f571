#ifndef COMPONENTS_CONTROL_PERMIT_SOURCE_H_
#define COMPONENTS_CONTROL_PERMIT_SOURCE_H_

#include <array>
#include <string>

#include "components/base/snapshot.h"
#include "components/control/fleet.h"

namespace kingcupstair::control {

/// Gets permits for requests from the pool of their organisation's shard, and
/// from this host's own share when that pool can't be reached.
class PermitSource {
 public:
  explicit PermitSource(Fleet& fleet);

  /// Works out anew which hosts pool which shards.
  void UpdatePoolHosts();

  /// Lends this host's share of `shard`, but only to the host that this one
  /// takes its permits from: a share lent to any other would be out of reach.
  limits::LoanGrant Lend(limits::ShardId shard, const std::string& asker);

  /// Takes one permit; suspends the calling fiber.
  limits::PermitGrant Acquire(const std::string& organisation);

 private:
  using PoolHosts = std::array<std::string, limits::kShardCount>;

  Fleet& fleet;
  Snapshot<PoolHosts> pool_hosts;
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_PERMIT_SOURCE_H_
