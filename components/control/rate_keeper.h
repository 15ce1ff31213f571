#ifndef COMPONENTS_CONTROL_RATE_KEEPER_H_
#define COMPONENTS_CONTROL_RATE_KEEPER_H_

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "components/base/snapshot.h"
#include "components/config/configuration.h"
#include "components/limits/rate_pool.h"
#include "components/limits/share_lender.h"
#include "components/retry/retry_budget.h"
#include "components/rpc/messages.h"

namespace kingcupstair::control {

/// The rate limit state of this process: the lender of its own share, the pool
/// of the loans from other hosts, and the retry budget. Thread-safe.
class RateKeeper {
 public:
  struct Options {
    std::string host;
    /// The fraction by which the site tolerates more than the rate and the
    /// burst of an organisation.
    double tolerance = 0;
    /// The number of requests tolerated in addition to the burst.
    double slack = 0;
    limits::ShareLender::Options lender;
    /// The limits of the site on the retries of all hosts together.
    retry::RetryBudget::Options retries;
  };

  RateKeeper(Options options,
             const Snapshot<config::Configuration>& configuration);

  /// Sets the share of this host, 0 to 1.
  void SetShare(double fraction);

  /// Sets the lifetime of new loans.
  void SetLoanLifetime(Duration lifetime);

  /// Sets the number of pools among which the retry budget is divided.
  void SetPoolCount(size_t pool_count);

  /// Grants no loan before `until`, because an earlier incarnation of this host
  /// may have lent the share just before it ended. `block` states how the block
  /// can end early.
  void BlockLoansUntil(Instant until, const limits::LoanBlock& block);

  /// Ends the block of loans if `clearance` is its token. Returns the block;
  /// its token is 0 if it has ended or can't end early, and its digest of hosts
  /// is 0 if this host has no share yet.
  limits::LoanBlock EndLoanBlock(uint64_t clearance);

  /// Drops all loans of `lenders`, which have restarted, also those on their
  /// way here.
  void DropLoansOf(const std::vector<std::string>& lenders);

  /// Sets the hosts of the region that have entries in the share table. Loans
  /// are granted to these hosts only.
  void SetTableHosts(const std::set<std::string>& hosts);

  /// Returns the hosts set last with SetTableHosts.
  std::set<std::string> TableHosts() const;

  /// Returns the share of this host, 0 to 1.
  double Share() const;

  /// Returns the time at which the last loan of more than `fraction` expires.
  Instant LatestExpiryAbove(double fraction) const;

  /// Lends the share of `shard` to `borrower`, or renews its loan. The fraction
  /// of the result is 0 if the loan was refused.
  limits::LoanGrant Lend(limits::ShardId shard,
                         const std::string& borrower,
                         uint64_t loan_sequence);

  /// Ends the loan of `shard` to `borrower`, unless the loan was made with a
  /// higher loan sequence number than `loan_sequence`.
  void ReturnLoan(limits::ShardId shard,
                  const std::string& borrower,
                  uint64_t loan_sequence);

  /// Lends the share of `shards` to `pool_host` without a loan request. Returns
  /// the offer to send, without shards if no loan was granted.
  limits::LoanOffer MakeOffer(const std::vector<limits::ShardId>& shards,
                              const std::string& pool_host,
                              uint64_t loan_sequence);

  /// Adds the loans that `lender` offered with a permit request.
  void AcceptOffer(const std::string& lender, const limits::LoanOffer& offer);

  /// Grants no loan to `borrower` for `duration`, because this host gets no
  /// permits from it.
  void SuspendLoansTo(const std::string& borrower, Duration duration);

  /// Adds a loan that `lender` granted. `requested_at` is the time before the
  /// loan request was sent.
  void AddLoan(limits::ShardId shard,
               const std::string& lender,
               const limits::LoanGrant& grant,
               Instant requested_at);

  /// Drops a loan before it expires. Returns a loan sequence number; offers
  /// with this number or a lower one are rejected from now on.
  uint64_t DropLoan(limits::ShardId shard, const std::string& lender);

  /// Returns true if `lender` has lent all `shards` at least until `until`.
  bool HasLoansUntil(const std::vector<limits::ShardId>& shards,
                     const std::string& lender,
                     Instant until) const;

  /// Returns the shards on loan here, by lender.
  std::map<std::string, std::vector<limits::ShardId>> ShardsByLender() const;

  /// Takes up to `wanted` permits from the pool of this host and counts the
  /// permits granted as requests for `service` in the retry budget.
  limits::PermitGrant Acquire(const std::string& organisation,
                              const std::string& service,
                              int wanted);

  /// Counts the uncounted requests and the calls of `call`, then takes
  /// a retry token from the retry budget of this host. Returns false if none is
  /// left.
  bool TryRetry(const rpc::RetryTokenRequest& call);

  /// Counts calls in the retry budget of this host, which pools the shard of
  /// `organisation`.
  void CountCalls(const std::string& organisation,
                  const std::vector<retry::CallCounts>& calls);

  /// Takes permits from this host's own share, for use while the pool host of
  /// the shard is unreachable. Grants nothing while the share is lent to
  /// another host.
  limits::PermitGrant AcquireFromOwnShare(const std::string& organisation,
                                          int wanted);

  /// Removes the buckets of organisations that are idle.
  void RemoveRedundantBuckets();

 private:
  limits::LoanGrant LendLocked(limits::ShardId shard,
                               const std::string& borrower,
                               uint64_t loan_sequence,
                               Instant now);
  void CountCallsLocked(const std::string& organisation,
                        const std::vector<retry::CallCounts>& calls,
                        Instant now);
  /// Returns the fraction of the retry slack that only this host may spend.
  double RetryShare(const std::string& organisation, Instant now);
  limits::PermitGrant AcquireLocked(const std::string& organisation,
                                    int wanted);

  Options options;
  const Snapshot<config::Configuration>& configuration;
  mutable std::mutex mutex;
  limits::ShareLender lender;
  limits::RatePool pool;
  std::set<std::string> table_hosts;
  bool has_share = false;
  retry::RetryBudget retries;
  size_t pool_count = 1;
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_RATE_KEEPER_H_
