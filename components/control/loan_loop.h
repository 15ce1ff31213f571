#ifndef COMPONENTS_CONTROL_LOAN_LOOP_H_
#define COMPONENTS_CONTROL_LOAN_LOOP_H_

#include <atomic>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "components/control/fleet.h"

namespace kingcupstair::control {

/// How long a loan lasts in a region of `hosts` hosts. It grows with the region
/// so that a pool's asks stay within its control traffic.
Duration LoanLife(size_t hosts);

/// Keeps the loans of the shards that this host pools: asks every host of the
/// region for its share, all shards in one message, well before loans end.
class LoanLoop {
 public:
  explicit LoanLoop(Fleet& fleet);

  /// One round: asks whoever is due, gives back what is no longer pooled here.
  void Step();

  /// The pools that this host has kept for some time, a bit each.
  uint32_t KeptPools() const { return this->kept; }

  /// Gives back all loans before this host leaves, and tells all others that
  /// it does.
  void Leave();

 private:
  using ShardList = std::vector<limits::ShardId>;

  ShardList ShardsPooledHere(
      const std::vector<limits::PoolCandidate>& hosts) const;
  void NotePools(const ShardList& pooled, size_t hosts);
  void AskFor(const std::string& lender, const ShardList& shards);
  void GiveBack(const std::string& lender, rpc::ReturnedLoans returned);
  void GiveBackUnpooled(const std::set<limits::ShardId>& pooled);

  Fleet& fleet;
  /// By lender: when it may be asked again.
  std::map<std::string, Instant> ask_again;
  /// The pools that are here, and since when.
  std::map<size_t, Instant> pools_since;
  std::atomic<uint32_t> kept = 0;
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_LOAN_LOOP_H_
