#ifndef COMPONENTS_CONTROL_LOAN_LOOP_H_
#define COMPONENTS_CONTROL_LOAN_LOOP_H_

#include <atomic>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "components/control/fleet.h"
#include "components/limits/loan_sweep.h"

namespace kingcupstair::control {

/// Returns the lifetime of loans in a region of `hosts` hosts. The lifetime
/// grows with the region, so that the loan requests of a pool host stay within
/// its budget of control traffic.
Duration LoanLifetime(size_t hosts);

/// Returns the hosts that may become pool hosts: those of the directory that
/// have entries in the share table, since the others can't get loans, or all
/// while no table has been read.
std::vector<limits::PoolCandidate> PoolCandidates(const Fleet& fleet);

/// Obtains and renews the loans of the shards that this host pools. Each host
/// of the region gets one request for all shards, well before its loans expire.
class LoanLoop {
 public:
  explicit LoanLoop(Fleet& fleet);

  /// Runs one round: requests the loans that are due, returns the loans of
  /// shards that are no longer pooled here, and sleeps for 100 ms.
  void Step();

  /// Returns a bit mask of the pools that this host has had for at least one
  /// second.
  uint32_t EstablishedPools() const { return this->kept_pools; }

  /// Returns all loans before this host leaves, and notifies all hosts of the
  /// region that it leaves. Does nothing if there are no loans.
  void Leave();

 private:
  using ShardList = std::vector<limits::ShardId>;

  /// Returns the shards whose pool host among `hosts` is this host.
  ShardList ShardsPooledHere(
      const std::vector<limits::PoolCandidate>& hosts) const;
  /// Updates since when each pool is here, from the shards pooled here and the
  /// number of hosts in the region.
  void UpdatePooledSince(const ShardList& pooled, size_t hosts);
  /// Requests loans of `shards` from `lender` and adds those granted.
  void RequestLoans(const std::string& lender, const ShardList& shards);
  /// Finds out whether `lender`, which has refused a loan, has restarted, and
  /// ends its block if a sweep has cleared it.
  void CheckBlock(const std::string& lender);
  /// Has all hosts drop the loans of lenders that have restarted, if a sweep is
  /// due.
  void SweepLoans();
  /// Has `host` drop the loans of the lenders of the present sweep.
  void DropLoansAt(const std::string& host);
  /// Drops loans here and returns them to `lender`.
  void ReturnLoans(const std::string& lender, rpc::ReturnedLoans returned);
  /// Returns the loans of all shards that are not in `pooled`.
  void ReturnUnpooledLoans(const std::set<limits::ShardId>& pooled);

  Fleet& fleet;
  /// The earliest time of the next loan request, by lender. Instant::max()
  /// while a request is in progress.
  std::map<std::string, Instant> next_request_at;
  limits::LoanSweep sweep{{}};
  /// The earliest time of the next CheckBlock, by lender.
  std::map<std::string, Instant> next_check_at;
  /// The hosts with a call to drop loans in progress.
  std::set<std::string> dropping;
  /// The pools that this host has, and since when.
  std::map<size_t, Instant> pooled_since;
  /// The result of EstablishedPools.
  std::atomic<uint32_t> kept_pools = 0;
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_LOAN_LOOP_H_
