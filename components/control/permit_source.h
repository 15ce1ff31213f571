#ifndef COMPONENTS_CONTROL_PERMIT_SOURCE_H_
#define COMPONENTS_CONTROL_PERMIT_SOURCE_H_

#include <array>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "components/base/snapshot.h"
#include "components/control/fleet.h"

namespace kingcupstair::control {

/// Obtains permits for requests from the pool host of the organisation's shard,
/// or from this host's own share if the pool host is unreachable.
class PermitSource {
 public:
  explicit PermitSource(Fleet& fleet);

  /// Recomputes the pool host of each shard.
  void UpdatePoolHosts();

  /// Lends this host's share of `shard` to `borrower`, but only if `borrower`
  /// is the pool host as this host computes it. This host could not use a share
  /// that it lent to any other host, because it requests permits only from that
  /// one.
  limits::LoanGrant Lend(limits::ShardId shard,
                         const std::string& borrower,
                         uint64_t loan_sequence);

  /// Accepts the offered loans of the shards that this host pools.
  void AcceptOffer(const std::string& lender, const limits::LoanOffer& offer);

  /// Takes one permit from the pool host. If the pool host does not respond or
  /// has no loans, takes the permit from this host's own share, or else through
  /// another host. Suspends the calling fiber.
  limits::PermitGrant Acquire(const std::string& organisation,
                              const std::string& service);

  /// Takes one permit from the pool host for another host that can't reach it.
  limits::PermitGrant AcquireForPeer(const std::string& organisation,
                                     const std::string& service);

  /// Takes a retry token from the pool host. Returns false if none is left or
  /// the pool host does not respond. Suspends the calling fiber.
  bool TryRetry(const rpc::RetryTokenRequest& call);

  /// Records a call that an upstream of `caller` on this host makes to
  /// `service`, and the probability that the calling run is a retry. Reported
  /// with the next message to a pool host.
  void CountCall(const std::string& caller,
                 const std::string& service,
                 double repeat_probability);

 private:
  using PoolHosts = std::array<std::string, limits::kShardCount>;

  struct OfferState {
    /// The loan sequence number from the pool host's last response; 0 once it
    /// was used for an offer.
    uint64_t loan_sequence = 0;
    /// When the last offer was made.
    Instant last_offer;
  };

  /// Records an event if the set of pool hosts changed.
  void RecordPoolHostChange(const PoolHosts& before,
                            const PoolHosts& after) const;
  absl::StatusOr<limits::PermitGrant> AcquireFromPool(
      const std::string& organisation,
      const std::string& service);
  /// Calls the pool host, and calls it again if it did not respond and does
  /// over a new connection.
  template <typename T, typename PoolCall>
  absl::StatusOr<T> CallPool(const std::string& pool_host, PoolCall call);
  /// Returns the pool host of the organisation's shard.
  const std::string PoolHostFor(const std::string& organisation) const;
  /// Returns true while calls to `pool_host` are in the back-off after a
  /// failure.
  bool IsInBackoff(const std::string& pool_host);
  /// Lends this host's share to `pool_host` as an offer for the next permit
  /// request. Returns an empty offer if none is due.
  limits::LoanOffer MakeOfferTo(const std::string& pool_host);
  void AddCallCounts(const retry::CallCounts& counts);
  /// Returns the calls that have not been reported yet, and clears them.
  std::vector<retry::CallCounts> TakeCallCounts();
  /// Records calls again whose report was lost.
  void RestoreCallCounts(const std::vector<retry::CallCounts>& counts);
  void StoreLoanSequence(const std::string& pool_host, uint64_t loan_sequence);
  void RecordFailure(const std::string& pool_host);
  void RecordSuccess(const std::string& pool_host);
  /// Returns true if calls to `pool_host` have failed for 800 ms without a
  /// success.
  bool IsLongUnreachable(const std::string& pool_host);
  /// Marks `pool_host` as suspect and spreads the update, if it was alive.
  void SuspectPoolHost(const std::string& pool_host);
  absl::StatusOr<limits::PermitGrant> AcquireThroughRelays(
      const rpc::PermitRequest& call,
      const std::string& pool_host);
  std::vector<std::string> ChooseRelays(const std::string& pool_host);

  Fleet& fleet;
  Snapshot<PoolHosts> pool_hosts;
  std::mutex mutex;
  /// The end of the back-off, by pool host whose last calls failed.
  std::map<std::string, Instant> backoff_until;
  /// The state of loan offers, by pool host.
  std::map<std::string, OfferState> offer_states;
  /// The first failed call since the last success, by pool host.
  std::map<std::string, Instant> unreachable_since;
  /// Expected number of calls made by retries, by caller and service called.
  std::map<std::pair<std::string, std::string>, retry::CallCounts> call_counts;
  std::mt19937_64 random{std::random_device{}()};
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_PERMIT_SOURCE_H_
