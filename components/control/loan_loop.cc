#include "components/control/loan_loop.h"

#include <boost/fiber/fiber.hpp>

#include <algorithm>
#include <utility>

#include "components/fibers/worker_pool.h"

namespace kingcupstair::control {
namespace {

constexpr Duration kRound{std::chrono::milliseconds(100)};
/// The time without permits after a pool has died; an ask takes some
/// milliseconds, so a loan can still be renewed several times within it.
constexpr Duration kShortestLoan{std::chrono::milliseconds(500)};
constexpr Duration kLongestLoan{std::chrono::seconds(2)};
/// Loans of a region last this long for each pair of its hosts, within these
/// bounds: hosts without any requests have to be asked for theirs.
constexpr Duration kLoanPerPair{std::chrono::milliseconds(1)};
constexpr Duration kAskTimeout{std::chrono::milliseconds(300)};
/// Short enough to ask twice more before a loan of the shortest kind is over.
constexpr Duration kPauseAfterFailure{std::chrono::milliseconds(150)};
/// A host that has pooled for so long says that it keeps the pool. Hosts that
/// start together agree on one sooner.
constexpr Duration kKeepAfter{std::chrono::seconds(1)};
/// A loan that ends this soon is asked for: two asks and a pause fit in. Most
/// are renewed before, with an ask for permits.
constexpr Duration kAskAhead{std::chrono::milliseconds(250)};

}  // namespace

Duration LoanLife(size_t hosts) {
  const auto count = static_cast<int64_t>(hosts);
  return std::clamp(kLoanPerPair * count * count, kShortestLoan, kLongestLoan);
}

LoanLoop::LoanLoop(Fleet& fleet) : fleet(fleet) {}

void LoanLoop::Step() {
  const auto hosts = this->fleet.directory.PoolHosts(this->fleet.places.region);
  this->fleet.rates.SetLoanLife(LoanLife(hosts.size()));
  const ShardList pooled = this->ShardsPooledHere(hosts);
  this->NotePools(pooled, hosts.size());
  this->GiveBackUnpooled({pooled.begin(), pooled.end()});
  if (!pooled.empty()) {
    for (const auto& [lender, keeps] : hosts) {
      const Instant now = MonotonicNow();
      if (this->ask_again[lender] <= now &&
          !this->fleet.rates.IsLent(pooled, lender, now + kAskAhead)) {
        this->ask_again[lender] = Instant::max();
        boost::fibers::fiber([this, lender = lender, pooled] {
          this->AskFor(lender, pooled);
        }).detach();
      }
    }
  }
  this->fleet.rates.ForgetIdle();
  fibers::SleepFor(kRound);
}

LoanLoop::ShardList LoanLoop::ShardsPooledHere(
    const std::vector<limits::PoolCandidate>& hosts) const {
  ShardList pooled;
  for (limits::ShardId shard = 0; shard < limits::kShardCount; ++shard) {
    if (limits::PoolHostOf(shard, hosts) == this->fleet.places.host) {
      pooled.push_back(shard);
    }
  }
  return pooled;
}

void LoanLoop::NotePools(const ShardList& pooled, size_t hosts) {
  const Instant now = MonotonicNow();
  std::map<size_t, Instant> since;
  uint32_t long_kept = 0;
  for (const limits::ShardId shard : pooled) {
    const size_t pool = limits::PoolOf(shard, hosts);
    const auto known = this->pools_since.find(pool);
    since[pool] = known == this->pools_since.end() ? now : known->second;
    long_kept |= now - since[pool] >= kKeepAfter ? 1U << pool : 0U;
  }
  this->pools_since = std::move(since);
  this->kept = long_kept;
}

// Lenders are asked side by side: a few that do not answer must not hold up the
// others until their loans have run out.
//
// The time of a loan runs from before the ask, so whatever happens to the
// message only makes it shorter.
void LoanLoop::AskFor(const std::string& lender, const ShardList& shards) {
  const Instant asked = MonotonicNow();
  const uint64_t mark = limits::RatePool::MarkAt(asked);
  std::vector<limits::LoanGrant> grants;
  if (lender == this->fleet.places.host) {
    for (const limits::ShardId shard : shards) {
      grants.push_back(this->fleet.rates.Lend(shard, lender, mark));
    }
  } else {
    auto answer = this->fleet.peers.Lend(lender, shards, mark, kAskTimeout);
    if (!answer.ok() || answer->size() != shards.size()) {
      this->ask_again[lender] = MonotonicNow() + kPauseAfterFailure;
      return;
    }
    grants = *std::move(answer);
  }
  for (size_t i = 0; i < shards.size(); ++i) {
    this->fleet.rates.AddLoan(shards[i], lender, grants[i], asked);
  }
  const bool whole = std::all_of(
      grants.begin(), grants.end(),
      [](const limits::LoanGrant& grant) { return grant.fraction > 0; });
  this->ask_again[lender] = whole ? asked : asked + kPauseAfterFailure;
}

void LoanLoop::GiveBackUnpooled(const std::set<limits::ShardId>& pooled) {
  for (auto& [lender, shards] : this->fleet.rates.Loans()) {
    ShardList unpooled = shards;
    std::erase_if(unpooled, [&](const limits::ShardId shard) {
      return pooled.contains(shard);
    });
    if (!unpooled.empty()) {
      this->GiveBack(lender, {.shards = unpooled});
    }
  }
}

// All hosts hear of it at once and not by and by: until they agree on the next
// pool, each of them has no permits but those of its own share.
void LoanLoop::Leave() {
  auto loans = this->fleet.rates.Loans();
  if (loans.empty()) {
    return;
  }
  for (const auto& [host, keeps] :
       this->fleet.directory.PoolHosts(this->fleet.places.region)) {
    boost::fibers::fiber([this, host = host, shards = loans[host]] {
      this->GiveBack(host, {.shards = shards, .leaving = true});
    }).detach();
  }
}

// The loans are dropped here before the lender is told that it may spend.
void LoanLoop::GiveBack(const std::string& lender,
                        rpc::ReturnedLoans returned) {
  for (const limits::ShardId shard : returned.shards) {
    returned.mark = this->fleet.rates.DropLoan(shard, lender);
  }
  if (lender != this->fleet.places.host) {
    this->fleet.peers.GiveBack(lender, returned, kAskTimeout).IgnoreError();
    return;
  }
  for (const limits::ShardId shard : returned.shards) {
    this->fleet.rates.GiveBack(shard, lender, returned.mark);
  }
}

}  // namespace kingcupstair::control
