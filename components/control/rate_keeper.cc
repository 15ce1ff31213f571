#include "components/control/rate_keeper.h"

#include <algorithm>

namespace kingcupstair::control {

RateKeeper::RateKeeper(Options options,
                       const Snapshot<config::Configuration>& configuration)
    : options(std::move(options)),
      configuration(configuration),
      lender(this->options.lender),
      retries(this->options.retries) {
  this->pool.IgnoreLoansBefore(MonotonicNow());
}

void RateKeeper::SetShare(double fraction) {
  const std::lock_guard lock(this->mutex);
  this->lender.SetShare(fraction);
  this->has_share = true;
}

void RateKeeper::SetLoanLifetime(Duration lifetime) {
  const std::lock_guard lock(this->mutex);
  this->lender.SetLoanLifetime(lifetime);
}

void RateKeeper::SetPoolCount(size_t pool_count) {
  const std::lock_guard lock(this->mutex);
  this->pool_count = pool_count;
}

void RateKeeper::BlockLoansUntil(Instant until,
                                 const limits::LoanBlock& block) {
  const std::lock_guard lock(this->mutex);
  this->lender.BlockLoansUntil(until, block);
}

limits::LoanBlock RateKeeper::EndLoanBlock(uint64_t clearance) {
  const std::lock_guard lock(this->mutex);
  const Instant now = MonotonicNow();
  this->lender.EndBlock(clearance, now);
  limits::LoanBlock block = this->lender.Block(now);
  if (block.token == 0) {
    block.hosts =
        this->has_share ? limits::DigestOfHosts(this->table_hosts) : 0;
  }
  return block;
}

void RateKeeper::DropLoansOf(const std::vector<std::string>& lenders) {
  const std::lock_guard lock(this->mutex);
  const Instant now = MonotonicNow();
  for (const std::string& lender : lenders) {
    this->pool.DropLoansOf(lender, now);
  }
}

void RateKeeper::SetTableHosts(const std::set<std::string>& hosts) {
  const std::lock_guard lock(this->mutex);
  this->lender.SetEligibleBorrowers(hosts);
  this->table_hosts = hosts;
}

std::set<std::string> RateKeeper::TableHosts() const {
  const std::lock_guard lock(this->mutex);
  return this->table_hosts;
}

double RateKeeper::Share() const {
  const std::lock_guard lock(this->mutex);
  return this->lender.current_share();
}

Instant RateKeeper::LatestExpiryAbove(double fraction) const {
  const std::lock_guard lock(this->mutex);
  return this->lender.LatestExpiryOfLoansAbove(fraction);
}

limits::LoanGrant RateKeeper::Lend(limits::ShardId shard,
                                   const std::string& borrower,
                                   uint64_t loan_sequence) {
  const std::lock_guard lock(this->mutex);
  return this->LendLocked(shard, borrower, loan_sequence, MonotonicNow());
}

// While the pool host is unreachable, this host lends its share to itself. That
// loan ends as soon as the pool host requests the share or gets an offer.
limits::LoanGrant RateKeeper::LendLocked(limits::ShardId shard,
                                         const std::string& borrower,
                                         uint64_t loan_sequence,
                                         Instant now) {
  if (borrower != this->options.host) {
    this->pool.DropLoan(shard, this->options.host, now);
    this->lender.AcceptReturn(shard, this->options.host, 0, now);
  }
  return this->lender.Lend(shard, borrower, loan_sequence, now);
}

void RateKeeper::ReturnLoan(limits::ShardId shard,
                            const std::string& borrower,
                            uint64_t loan_sequence) {
  const std::lock_guard lock(this->mutex);
  this->lender.AcceptReturn(shard, borrower, loan_sequence, MonotonicNow());
}

limits::LoanOffer RateKeeper::MakeOffer(
    const std::vector<limits::ShardId>& shards,
    const std::string& pool_host,
    uint64_t loan_sequence) {
  const std::lock_guard lock(this->mutex);
  limits::LoanOffer offer{.loan_sequence_number = loan_sequence};
  const Instant now = MonotonicNow();
  for (const limits::ShardId shard : shards) {
    const auto grant = this->LendLocked(shard, pool_host, loan_sequence, now);
    if (grant.fraction > 0) {
      offer.shards.push_back(shard);
      offer.grant = grant;
    }
  }
  return offer;
}

void RateKeeper::AcceptOffer(const std::string& lender,
                             const limits::LoanOffer& offer) {
  const std::lock_guard lock(this->mutex);
  this->pool.AcceptOffer(lender, offer, MonotonicNow());
}

bool RateKeeper::HasLoansUntil(const std::vector<limits::ShardId>& shards,
                               const std::string& lender,
                               Instant until) const {
  const std::lock_guard lock(this->mutex);
  return std::all_of(shards.begin(), shards.end(),
                     [&](const limits::ShardId shard) {
                       return this->pool.LoanExpiry(shard, lender) >= until;
                     });
}

std::map<std::string, std::vector<limits::ShardId>> RateKeeper::ShardsByLender()
    const {
  const std::lock_guard lock(this->mutex);
  return this->pool.ShardsByLender();
}

void RateKeeper::SuspendLoansTo(const std::string& borrower,
                                Duration duration) {
  const std::lock_guard lock(this->mutex);
  this->lender.RefuseLoansTo(borrower, MonotonicNow() + duration);
}

void RateKeeper::AddLoan(limits::ShardId shard,
                         const std::string& lender,
                         const limits::LoanGrant& grant,
                         Instant requested_at) {
  const std::lock_guard lock(this->mutex);
  this->pool.AddLoan(shard, lender, grant, requested_at, MonotonicNow());
}

uint64_t RateKeeper::DropLoan(limits::ShardId shard,
                              const std::string& lender) {
  const std::lock_guard lock(this->mutex);
  const Instant now = MonotonicNow();
  this->pool.DropLoan(shard, lender, now);
  return limits::RatePool::LoanSequenceNumberAt(now);
}

limits::PermitGrant RateKeeper::Acquire(const std::string& organisation,
                                        const std::string& service,
                                        int wanted) {
  const std::lock_guard lock(this->mutex);
  auto grant = this->AcquireLocked(organisation, wanted);
  const Instant now = MonotonicNow();
  grant.loan_sequence_number = limits::RatePool::LoanSequenceNumberAt(now);
  for (int i = 0; i < grant.granted; ++i) {
    this->retries.OnRequest(service, this->RetryShare(organisation, now), now);
  }
  return grant;
}

bool RateKeeper::TryRetry(const rpc::RetryTokenRequest& call) {
  const std::lock_guard lock(this->mutex);
  const Instant now = MonotonicNow();
  const double share = this->RetryShare(call.organisation, now);
  for (int i = 0; i < call.requests_without_permit; ++i) {
    this->retries.OnRequest(call.service, share, now);
  }
  this->CountCallsLocked(call.organisation, call.call_counts, now);
  return this->retries.TryRetry(call.service, share, now);
}

void RateKeeper::CountCalls(const std::string& organisation,
                            const std::vector<retry::CallCounts>& calls) {
  const std::lock_guard lock(this->mutex);
  this->CountCallsLocked(organisation, calls, MonotonicNow());
}

void RateKeeper::CountCallsLocked(const std::string& organisation,
                                  const std::vector<retry::CallCounts>& calls,
                                  Instant now) {
  for (const retry::CallCounts& each : calls) {
    this->retries.OnCalls(each, this->RetryShare(organisation, now), now);
  }
}

// A host lends a shard to one pool host at a time, so the fraction on loan here
// is on loan nowhere else, even while hosts disagree about the pool host.
double RateKeeper::RetryShare(const std::string& organisation, Instant now) {
  return this->pool.LoanedFraction(limits::ShardOf(organisation), now) /
         static_cast<double>(this->pool_count);
}

limits::PermitGrant RateKeeper::AcquireFromOwnShare(
    const std::string& organisation,
    int wanted) {
  const std::lock_guard lock(this->mutex);
  const limits::ShardId shard = limits::ShardOf(organisation);
  const Instant now = MonotonicNow();
  const auto grant = this->lender.Lend(shard, this->options.host, 0, now);
  this->pool.AddLoan(shard, this->options.host, grant, now, now);
  return this->AcquireLocked(organisation, wanted);
}

limits::PermitGrant RateKeeper::AcquireLocked(const std::string& organisation,
                                              int wanted) {
  const auto current = this->configuration.Read();
  const auto* rule = current->FindOrganisation(organisation);
  if (rule == nullptr) {
    return {.lifetime = limits::kMaxPermitLifetime};
  }
  const double factor = 1 + this->options.tolerance;
  return this->pool.Acquire(
      organisation, wanted,
      {.rate = rule->rate * factor,
       .depth = rule->burst * factor + this->options.slack},
      MonotonicNow());
}

void RateKeeper::RemoveRedundantBuckets() {
  const std::lock_guard lock(this->mutex);
  this->pool.RemoveRedundantBuckets(MonotonicNow());
}

}  // namespace kingcupstair::control
