#ifndef COMPONENTS_CONTROL_PERMIT_SOURCE_H_
#define COMPONENTS_CONTROL_PERMIT_SOURCE_H_

#include <array>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
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
  limits::LoanGrant Lend(limits::ShardId shard,
                         const std::string& asker,
                         uint64_t mark);

  /// Takes a loan that was offered, if this host is the pool.
  void TakeOffer(const std::string& lender, const limits::LoanOffer& offer);

  /// Takes one permit: from the pool, from this host's own share if the pool
  /// gives none, and else through another host. Suspends the calling fiber.
  limits::PermitGrant Acquire(const std::string& organisation,
                              const std::string& service);

  /// Takes one permit from the pool for a host that does not reach it.
  limits::PermitGrant AcquireForOther(const std::string& organisation,
                                      const std::string& service);

  /// Leave from the pool to send a request a second time; false when it has
  /// none left or does not answer. Suspends the calling fiber.
  bool TryRetry(const rpc::RetryCall& call);

 private:
  using PoolHosts = std::array<std::string, limits::kShardCount>;

  struct Mark {
    uint64_t mark = 0;
    Instant offered;
  };

  void RecordChange(const PoolHosts& before, const PoolHosts& after) const;
  absl::StatusOr<limits::PermitGrant> AcquireFromPool(
      const std::string& organisation,
      const std::string& service);
  const std::string PoolOf(const std::string& organisation) const;
  bool IsLostNow(const std::string& pool);
  limits::LoanOffer OfferTo(const std::string& pool);
  void NoteMark(const std::string& pool, uint64_t mark);
  void NoteLost(const std::string& pool);
  void NoteReached(const std::string& pool);
  bool IsUnreached(const std::string& pool);
  void Suspect(const std::string& pool);
  absl::StatusOr<limits::PermitGrant> AcquireThroughOthers(
      const rpc::PermitCall& call,
      const std::string& pool);
  std::vector<std::string> ChooseRelays(const std::string& pool);

  Fleet& fleet;
  Snapshot<PoolHosts> pool_hosts;
  std::mutex mutex;
  /// Pools that did not answer here, and until when they are not asked.
  std::map<std::string, Instant> lost;
  /// The last marks of pools, and when offers were made with them.
  std::map<std::string, Mark> marks;
  /// Pools from which no answer has come, and since when.
  std::map<std::string, Instant> unreached_since;
  std::mt19937_64 random{std::random_device{}()};
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_PERMIT_SOURCE_H_
