#include "components/control/loan_loop.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "components/fibers/boundary.h"
#include "components/fibers/worker_pool.h"

namespace kingcupstair::control {
namespace {

constexpr Duration kStepInterval{std::chrono::milliseconds(100)};
/// A lender that refuses loans and has not restarted is asked for the reason
/// again after this time. Hosts that have no share refuse all the time.
constexpr Duration kBlockCheckInterval{std::chrono::seconds(10)};
/// While nobody has permits because a sweep has not ended.
constexpr Duration kSweepStepInterval{std::chrono::milliseconds(20)};
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

std::vector<limits::PoolCandidate> PoolCandidates(const Fleet& fleet) {
  auto candidates = fleet.directory.PoolHosts(fleet.settings.region);
  const auto with_entries = fleet.rates.TableHosts();
  if (!with_entries.empty()) {
    std::erase_if(candidates, [&](const limits::PoolCandidate& candidate) {
      return !with_entries.contains(candidate.host);
    });
  }
  return candidates;
}

LoanLoop::LoanLoop(Fleet& fleet) : fleet(fleet) {}

void LoanLoop::Step() {
  const auto hosts =
      this->fleet.directory.PoolHosts(this->fleet.settings.region);
  this->fleet.rates.SetLoanLifetime(LoanLifetime(hosts.size()));
  const auto candidates = PoolCandidates(this->fleet);
  const ShardList pooled = this->ShardsPooledHere(candidates);
  this->UpdatePooledSince(pooled, candidates.size());
  this->ReturnUnpooledLoans({pooled.begin(), pooled.end()});
  if (!pooled.empty()) {
    this->SweepLoans();
    for (const auto& [lender, kept] : hosts) {
      const Instant now = MonotonicNow();
      if (this->next_request_at[lender] <= now &&
          !this->fleet.rates.HasLoansUntil(pooled, lender,
                                           now + kRenewBeforeExpiry)) {
        this->next_request_at[lender] = Instant::max();
        fibers::Launch("request loans", [this, lender = lender, pooled] {
          if (!fibers::RunContained("request loans", [&] {
                this->RequestLoans(lender, pooled);
              })) {
            this->next_request_at[lender] =
                MonotonicNow() + kBlockCheckInterval;
          }
        });
      }
    }
  }
  this->fleet.rates.RemoveRedundantBuckets();
  fibers::SleepFor(this->sweep.Unconfirmed().empty() ? kStepInterval
                                                     : kSweepStepInterval);
}

void LoanLoop::CheckBlock(const std::string& lender) {
  if (MonotonicNow() < this->next_check_at[lender]) {
    return;
  }
  const uint64_t clearance = this->sweep.ClearanceFor(lender);
  absl::StatusOr<limits::LoanBlock> block;
  if (lender == this->fleet.settings.host) {
    block = this->fleet.rates.EndLoanBlock(clearance);
  } else {
    block = this->fleet.peers.LoanBlock(lender, clearance, kLoanCallTimeout);
  }
  if (!block.ok() || block->hosts == 0) {
    return;
  }
  this->sweep.RecordResponse(lender, *block);
  if (block->token == 0) {
    this->next_check_at[lender] = MonotonicNow() + kBlockCheckInterval;
  }
}

void LoanLoop::SweepLoans() {
  this->sweep.SetHosts(this->fleet.rates.TableHosts());
  this->sweep.Update(MonotonicNow());
  for (const std::string& host : this->sweep.Unconfirmed()) {
    if (this->dropping.insert(host).second) {
      fibers::Launch("drop loans", [this, host] {
        if (!fibers::RunContained("drop loans",
                                  [&] { this->DropLoansAt(host); })) {
          this->dropping.erase(host);
        }
      });
    }
  }
}

void LoanLoop::DropLoansAt(const std::string& host) {
  const uint64_t number = this->sweep.number();
  const auto lenders = this->sweep.Lenders();
  absl::Status dropped;
  if (host == this->fleet.settings.host) {
    this->fleet.rates.DropLoansOf(lenders);
  } else {
    dropped = this->fleet.peers.DropLoans(host, lenders, kLoanCallTimeout);
  }
  if (!dropped.ok()) {
    fibers::SleepFor(kFailureBackoff);
  }
  this->dropping.erase(host);
  if (!dropped.ok()) {
    return;
  }
  this->sweep.RecordDropped(number, host);
  if (this->sweep.number() == number && this->sweep.Unconfirmed().empty()) {
    this->fleet.recorder.Record(
        {.kind = "loans_swept",
         .detail = absl::StrCat(lenders.size(), " lenders")});
  }
  for (const std::string& lender : lenders) {
    // A request in progress sets the time of the next one itself.
    if (this->sweep.ClearanceFor(lender) != 0 &&
        this->next_request_at[lender] != Instant::max()) {
      this->next_request_at[lender] = Instant{};
    }
  }
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
  if (all_granted) {
    this->sweep.RecordResponse(lender, {});
    this->next_check_at.erase(lender);
  } else {
    this->CheckBlock(lender);
  }
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
    fibers::Launch("return loans", [this, host = host, shards = loans[host]] {
      this->ReturnLoans(host, {.shards = shards, .leaving = true});
    });
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
