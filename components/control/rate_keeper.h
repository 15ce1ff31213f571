#ifndef COMPONENTS_CONTROL_RATE_KEEPER_H_
#define COMPONENTS_CONTROL_RATE_KEEPER_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "components/base/snapshot.h"
#include "components/config/configuration.h"
#include "components/limits/rate_pool.h"
#include "components/limits/share_lender.h"
#include "components/retry/retry_budget.h"
#include "components/rpc/messages.h"

namespace kingcupstair::control {

/// This process's part in the rate limits: the lender of its own share and the
/// pool of what others lend it. Safe to use from several threads.
class RateKeeper {
 public:
  struct Options {
    std::string host;
    /// What the site tolerates beyond an organisation's rate and burst: a
    /// fraction of both, and requests on top of the burst.
    double tolerance = 0;
    double slack = 0;
    limits::ShareLender::Options lender;
    /// The site's bounds on retries of all hosts together.
    retry::RetryBudget::Options retries;
  };

  RateKeeper(Options options,
             const Snapshot<config::Configuration>& configuration);

  void SetShare(double fraction);
  void SetLoanLife(Duration life);
  /// How many hosts pool rates and share the retry budget.
  void SetPools(size_t pools);
  void HoldBackUntil(Instant until);
  double Share() const;
  Instant FreeOfOldLoans(double fraction) const;

  limits::LoanGrant Lend(limits::ShardId shard,
                         const std::string& holder,
                         uint64_t mark);
  void GiveBack(limits::ShardId shard,
                const std::string& holder,
                uint64_t mark);

  /// Lends what `pool` is to have of `shards` without being asked.
  limits::LoanOffer Offer(const std::vector<limits::ShardId>& shards,
                          const std::string& pool,
                          uint64_t mark);
  void TakeOffer(const std::string& lender, const limits::LoanOffer& offer);

  /// Lends nothing to `holder` for `duration`.
  void Distrust(const std::string& holder, Duration duration);

  void AddLoan(limits::ShardId shard,
               const std::string& lender,
               const limits::LoanGrant& grant,
               Instant asked);
  /// Gives a loan up; offers with marks up to the one returned are not taken.
  uint64_t DropLoan(limits::ShardId shard, const std::string& from);
  /// Whether all loans of `shards` from `lender` last until `then`.
  bool IsLent(const std::vector<limits::ShardId>& shards,
              const std::string& lender,
              Instant then) const;
  std::map<std::string, std::vector<limits::ShardId>> Loans() const;

  /// Takes permits from the pool of this host, for requests for `service`.
  limits::PermitGrant Acquire(const std::string& organisation,
                              const std::string& service,
                              int wanted);

  /// Leave from the pool of this host to send a request a second time.
  bool TryRetry(const rpc::RetryCall& call);

  /// Takes permits from this host's own share, for when the pool of the shard
  /// can't be reached. Nothing is granted while the share is lent to it.
  limits::PermitGrant AcquireFromOwnShare(const std::string& organisation,
                                          int wanted);

  void ForgetIdle();

 private:
  limits::LoanGrant LendLocked(limits::ShardId shard,
                               const std::string& holder,
                               uint64_t mark,
                               Instant now);
  /// The part of the retry slack that is held here and nowhere else.
  double RetryShare(const std::string& organisation, Instant now);
  limits::PermitGrant AcquireLocked(const std::string& organisation,
                                    int wanted);

  Options options;
  const Snapshot<config::Configuration>& configuration;
  mutable std::mutex mutex;
  limits::ShareLender lender;
  limits::RatePool pool;
  retry::RetryBudget retries;
  size_t pools = 1;
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_RATE_KEEPER_H_
