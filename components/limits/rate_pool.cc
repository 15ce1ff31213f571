#include "components/limits/rate_pool.h"

#include <algorithm>

namespace kingcupstair::limits {
namespace {

constexpr Duration kMinPermitLife{std::chrono::milliseconds(5)};
/// A permit holds for at most this part of the time in which a full bucket
/// fills, so that permits in flight never take up most of a small burst.
constexpr double kPermitPartOfFillTime = 0.25;
constexpr Duration kRetryWithoutLoan{std::chrono::milliseconds(250)};

Duration PermitLife(const RateLimit& limit) {
  if (limit.rate <= 0) {
    return kMaxPermitLife;
  }
  const double fill_seconds = limit.depth / limit.rate;
  const auto life = Duration(
      static_cast<int64_t>(fill_seconds * kPermitPartOfFillTime * 1e6));
  return std::clamp(life, kMinPermitLife, kMaxPermitLife);
}

}  // namespace

void RatePool::AddLoan(ShardId shard,
                       const std::string& lender,
                       const LoanGrant& grant,
                       Instant asked,
                       Instant now) {
  Shard& state = this->Refresh(shard, now);
  if (grant.fraction <= 0) {
    return;
  }
  state.loans[lender] = {.fraction = grant.fraction,
                         .expires = asked + grant.life};
  this->Refresh(shard, now);
}

uint64_t RatePool::MarkAt(Instant now) {
  return static_cast<uint64_t>(now.time_since_epoch().count());
}

// The lender may have taken back what it offered before a loan was dropped, so
// only offers that answer something sent later are safe to use.
void RatePool::TakeOffer(const std::string& lender,
                         const LoanOffer& offer,
                         Instant now) {
  const Instant asked{Duration(static_cast<int64_t>(offer.mark))};
  for (const ShardId shard : offer.shards) {
    const Shard& state = this->shards[static_cast<size_t>(shard)];
    if (asked > state.dropped_at && asked <= now &&
        asked + offer.grant.life > this->LoanEnd(shard, lender)) {
      this->AddLoan(shard, lender, offer.grant, asked, now);
    }
  }
}

Instant RatePool::LoanEnd(ShardId shard, const std::string& lender) const {
  const auto& loans = this->shards[static_cast<size_t>(shard)].loans;
  const auto found = loans.find(lender);
  return found == loans.end() ? Instant{} : found->second.expires;
}

std::map<std::string, std::vector<ShardId>> RatePool::Loans() const {
  std::map<std::string, std::vector<ShardId>> loans;
  for (ShardId shard = 0; shard < kShardCount; ++shard) {
    for (const auto& [lender, loan] :
         this->shards[static_cast<size_t>(shard)].loans) {
      loans[lender].push_back(shard);
    }
  }
  return loans;
}

void RatePool::DropLoan(ShardId shard, const std::string& lender, Instant now) {
  this->shards[static_cast<size_t>(shard)].dropped_at = now;
  this->shards[static_cast<size_t>(shard)].loans.erase(lender);
  this->Refresh(shard, now);
}

double RatePool::Fraction(ShardId shard, Instant now) {
  return this->Refresh(shard, now).history.Current();
}

// Loans that ended since the last call are taken out one by one, each at its
// own time, so that no bucket fills from a share after its loan.
RatePool::Shard& RatePool::Refresh(ShardId shard, Instant now) {
  Shard& state = this->shards[static_cast<size_t>(shard)];
  const auto sum = [&] {
    double total = 0;
    for (const auto& [lender, loan] : state.loans) {
      total += loan.fraction;
    }
    return total;
  };
  while (true) {
    const auto first =
        std::min_element(state.loans.begin(), state.loans.end(),
                         [](const auto& left, const auto& right) {
                           return left.second.expires < right.second.expires;
                         });
    if (first == state.loans.end() || first->second.expires > now) {
      break;
    }
    const Instant ended = first->second.expires;
    state.loans.erase(first);
    state.history.Set(sum(), ended);
  }
  state.history.Set(sum(), now);
  return state;
}

// The tokens in a bucket and the permits that may still be used together never
// exceed its depth: that is what keeps every window of time below the limit.
void RatePool::Settle(Bucket& bucket, const Shard& shard, Instant now) {
  while (!bucket.outstanding.empty() &&
         bucket.outstanding.front().expires <= now) {
    const Outstanding& oldest = bucket.outstanding.front();
    shard.history.Advance(bucket.tokens, bucket.limit, bucket.outstanding_count,
                          oldest.expires);
    bucket.outstanding_count -= oldest.count;
    bucket.outstanding.pop_front();
  }
  shard.history.Advance(bucket.tokens, bucket.limit, bucket.outstanding_count,
                        now);
}

RatePool::Bucket& RatePool::FindBucket(const std::string& organisation,
                                       const RateLimit& limit,
                                       Instant now) {
  const Shard& shard = this->Refresh(ShardOf(organisation), now);
  auto found = this->buckets.find(organisation);
  if (found == this->buckets.end()) {
    found = this->buckets
                .emplace(organisation,
                         Bucket(shard.history.Replay(limit, now), limit))
                .first;
  }
  Bucket& bucket = found->second;
  Settle(bucket, shard, now);
  bucket.limit = limit;
  Settle(bucket, shard, now);
  return bucket;
}

PermitGrant RatePool::Acquire(const std::string& organisation,
                              int wanted,
                              const RateLimit& limit,
                              Instant now) {
  Bucket& bucket = this->FindBucket(organisation, limit, now);
  const ShardId shard = ShardOf(organisation);
  const double fraction =
      this->shards[static_cast<size_t>(shard)].history.Current();
  if (fraction <= 0) {
    return {.retry_after = kRetryWithoutLoan,
            .life = PermitLife(limit),
            .pools_nothing = true};
  }
  const Duration life = PermitLife(limit);
  const int granted = bucket.tokens.Take(wanted);
  if (granted > 0) {
    bucket.outstanding.push_back({.count = granted, .expires = now + life});
    bucket.outstanding_count += granted;
  }
  PermitGrant grant{.granted = granted, .life = life, .fraction = fraction};
  if (granted < wanted) {
    grant.retry_after = bucket.tokens.TimeToNext(Scaled(limit, fraction));
  }
  return grant;
}

void RatePool::ForgetIdle(Instant now) {
  for (ShardId shard = 0; shard < kShardCount; ++shard) {
    this->Refresh(shard, now);
  }
  for (auto at = this->buckets.begin(); at != this->buckets.end();) {
    const Shard& shard = this->shards[static_cast<size_t>(ShardOf(at->first))];
    Bucket& bucket = at->second;
    Settle(bucket, shard, now);
    const double anew = shard.history.Replay(bucket.limit, now).tokens();
    const bool droppable =
        bucket.outstanding.empty() && anew <= bucket.tokens.tokens();
    at = droppable ? this->buckets.erase(at) : std::next(at);
  }
}

}  // namespace kingcupstair::limits
