#include "components/control/loan_loop.h"

#include <boost/fiber/fiber.hpp>

#include <algorithm>
#include <utility>

#include "components/fibers/worker_pool.h"

namespace kingcupstair::control {
namespace {

constexpr Duration kStepInterval{std::chrono::milliseconds(100)};
/// No permits are available for up to this long after a pool host died. A loan
/// request takes some milliseconds, so a loan can still be renewed several
/// times within this lifetime.
constexpr Duration kMinLoanLifetime{std::chrono::milliseconds(500)};
constexpr Duration kMaxLoanLifetime{std::chrono::seconds(2)};
/// The lifetime of loans is this long for each pair of hosts in the region,
/// within the bounds above: pool hosts have to send loan requests to hosts that
/// serve no requests, because such hosts send no loan offers.
constexpr Duration kLoanLifetimePerHostPair{std::chrono::milliseconds(1)};
constexpr Duration kLoanCallTimeout{std::chrono::milliseconds(300)};
/// Short enough for two more requests before a loan with the minimum lifetime
/// expires.
constexpr Duration kFailureBackoff{std::chrono::milliseconds(150)};
/// A host that has had a pool for this long announces that it keeps the pool.
/// Hosts that start together agree on a pool host in less time.
constexpr Duration kKeepPoolAfter{std::chrono::seconds(1)};
/// A loan is requested again when it expires within this time, in which two
/// requests and a back-off fit. Most loans are renewed earlier by an offer that
/// comes with a permit request.
constexpr Duration kRenewBeforeExpiry{std::chrono::milliseconds(250)};

}  // namespace

Duration LoanLifetime(size_t hosts) {
  const auto count = static_cast<int64_t>(hosts);
  return std::clamp(kLoanLifetimePerHostPair * count * count, kMinLoanLifetime,
                    kMaxLoanLifetime);
}

LoanLoop::LoanLoop(Fleet& fleet) : fleet(fleet) {}

void LoanLoop::Step() {
  const auto hosts =
      this->fleet.directory.PoolHosts(this->fleet.settings.region);
  this->fleet.rates.SetLoanLifetime(LoanLifetime(hosts.size()));
  const ShardList pooled = this->ShardsPooledHere(hosts);
  this->UpdatePooledSince(pooled, hosts.size());
  this->ReturnUnpooledLoans({pooled.begin(), pooled.end()});
  if (!pooled.empty()) {
    for (const auto& [lender, kept] : hosts) {
      const Instant now = MonotonicNow();
      if (this->next_request_at[lender] <= now &&
          !this->fleet.rates.HasLoansUntil(pooled, lender,
                                           now + kRenewBeforeExpiry)) {
        this->next_request_at[lender] = Instant::max();
        boost::fibers::fiber([this, lender = lender, pooled] {
          this->RequestLoans(lender, pooled);
        }).detach();
      }
    }
  }
  this->fleet.rates.RemoveRedundantBuckets();
  fibers::SleepFor(kStepInterval);
}

LoanLoop::ShardList LoanLoop::ShardsPooledHere(
    const std::vector<limits::PoolCandidate>& hosts) const {
  ShardList pooled;
  for (limits::ShardId shard = 0; shard < limits::kShardCount; ++shard) {
    if (limits::PoolHostOf(shard, hosts) == this->fleet.settings.host) {
      pooled.push_back(shard);
    }
  }
  return pooled;
}

void LoanLoop::UpdatePooledSince(const ShardList& pooled, size_t hosts) {
  const Instant now = MonotonicNow();
  std::map<size_t, Instant> since;
  uint32_t kept_mask = 0;
  for (const limits::ShardId shard : pooled) {
    const size_t pool = limits::PoolOf(shard, hosts);
    const auto known = this->pooled_since.find(pool);
    since[pool] = known == this->pooled_since.end() ? now : known->second;
    kept_mask |= now - since[pool] >= kKeepPoolAfter ? 1U << pool : 0U;
  }
  this->pooled_since = std::move(since);
  this->kept_pools = kept_mask;
}

// Each lender gets its own fiber, so that lenders that do not respond can't
// delay the requests to the others until their loans have expired.
//
// The lifetime of a loan counts from before the request was sent, so a delay of
// the message only shortens the loan.
void LoanLoop::RequestLoans(const std::string& lender,
                            const ShardList& shards) {
  const Instant requested_at = MonotonicNow();
  const uint64_t loan_sequence =
      limits::RatePool::LoanSequenceNumberAt(requested_at);
  std::vector<limits::LoanGrant> grants;
  if (lender == this->fleet.settings.host) {
    for (const limits::ShardId shard : shards) {
      grants.push_back(this->fleet.rates.Lend(shard, lender, loan_sequence));
    }
  } else {
    auto answer =
        this->fleet.peers.Lend(lender, shards, loan_sequence, kLoanCallTimeout);
    if (!answer.ok() || answer->size() != shards.size()) {
      this->next_request_at[lender] = MonotonicNow() + kFailureBackoff;
      return;
    }
    grants = *std::move(answer);
  }
  for (size_t i = 0; i < shards.size(); ++i) {
    this->fleet.rates.AddLoan(shards[i], lender, grants[i], requested_at);
  }
  const bool all_granted = std::all_of(
      grants.begin(), grants.end(),
      [](const limits::LoanGrant& grant) { return grant.fraction > 0; });
  this->next_request_at[lender] =
      all_granted ? requested_at : requested_at + kFailureBackoff;
}

void LoanLoop::ReturnUnpooledLoans(const std::set<limits::ShardId>& pooled) {
  for (auto& [lender, shards] : this->fleet.rates.ShardsByLender()) {
    ShardList unpooled = shards;
    std::erase_if(unpooled, [&](const limits::ShardId shard) {
      return pooled.contains(shard);
    });
    if (!unpooled.empty()) {
      this->ReturnLoans(lender, {.shards = unpooled});
    }
  }
}

// Notifies all hosts at once instead of by gossip: until the hosts agree on the
// next pool host, each of them has only the permits of its own share.
void LoanLoop::Leave() {
  auto loans = this->fleet.rates.ShardsByLender();
  if (loans.empty()) {
    return;
  }
  for (const auto& [host, kept] :
       this->fleet.directory.PoolHosts(this->fleet.settings.region)) {
    boost::fibers::fiber([this, host = host, shards = loans[host]] {
      this->ReturnLoans(host, {.shards = shards, .leaving = true});
    }).detach();
  }
}

// Drops the loans before the notification that lets the lender spend its share,
// so that the share is never spent on both hosts.
void LoanLoop::ReturnLoans(const std::string& lender,
                           rpc::ReturnedLoans returned) {
  for (const limits::ShardId shard : returned.shards) {
    returned.loan_sequence_number = this->fleet.rates.DropLoan(shard, lender);
  }
  if (lender != this->fleet.settings.host) {
    this->fleet.peers.ReturnLoans(lender, returned, kLoanCallTimeout)
        .IgnoreError();
    return;
  }
  for (const limits::ShardId shard : returned.shards) {
    this->fleet.rates.ReturnLoan(shard, lender, returned.loan_sequence_number);
  }
}

}  // namespace kingcupstair::control
