#include "components/limits/rate_pool.h"

#include <algorithm>

namespace kingcupstair::limits {
namespace {

constexpr Duration kMinPermitLifetime{std::chrono::milliseconds(5)};
// A permit is valid for at most this fraction of the time in which an empty
// bucket fills, so that outstanding permits never take up most of a small
// burst.
constexpr double kPermitFractionOfFillTime = 0.25;
constexpr Duration kRetryAfterWithoutLoan{std::chrono::milliseconds(250)};

Duration PermitLifetime(const RateLimit& limit) {
  if (limit.rate <= 0) {
    return kMaxPermitLifetime;
  }
  const double fill_seconds = limit.depth / limit.rate;
  const auto lifetime = Duration(
      static_cast<int64_t>(fill_seconds * kPermitFractionOfFillTime * 1e6));
  return std::clamp(lifetime, kMinPermitLifetime, kMaxPermitLifetime);
}

}  // namespace

void RatePool::AddLoan(ShardId shard,
                       const std::string& lender,
                       const LoanGrant& grant,
                       Instant requested_at,
                       Instant now) {
  ShardState& state = this->ExpireLoans(shard, now);
  if (grant.fraction <= 0 || requested_at <= this->IgnoredUpTo(shard, lender)) {
    return;
  }
  state.loans[lender] = {.fraction = grant.fraction,
                         .expires = requested_at + grant.lifetime};
  this->ExpireLoans(shard, now);
}

uint64_t RatePool::LoanSequenceNumberAt(Instant now) {
  return static_cast<uint64_t>(now.time_since_epoch().count());
}

// Only an offer whose sequence number was issued after the last drop of a loan
// is safe to use. The lender of an earlier offer may have processed the return
// of the offered loan in the meantime and may have lent its share elsewhere.
void RatePool::AcceptOffer(const std::string& lender,
                           const LoanOffer& offer,
                           Instant now) {
  const Instant issued_at{
      Duration(static_cast<int64_t>(offer.loan_sequence_number))};
  for (const ShardId shard : offer.shards) {
    const ShardState& state = this->shards[static_cast<size_t>(shard)];
    if (issued_at > state.last_drop && issued_at <= now &&
        issued_at + offer.grant.lifetime > this->LoanExpiry(shard, lender)) {
      this->AddLoan(shard, lender, offer.grant, issued_at, now);
    }
  }
}

Instant RatePool::LoanExpiry(ShardId shard, const std::string& lender) const {
  const auto& loans = this->shards[static_cast<size_t>(shard)].loans;
  const auto found = loans.find(lender);
  return found == loans.end() ? Instant{} : found->second.expires;
}

std::map<std::string, std::vector<ShardId>> RatePool::ShardsByLender() const {
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
  this->shards[static_cast<size_t>(shard)].last_drop = now;
  this->shards[static_cast<size_t>(shard)].dropped_at[lender] = now;
  this->shards[static_cast<size_t>(shard)].loans.erase(lender);
  this->ExpireLoans(shard, now);
}

void RatePool::DropLoansOf(const std::string& lender, Instant now) {
  this->dropped_at[lender] = now;
  for (ShardId shard = 0; shard < kShardCount; ++shard) {
    if (this->shards[static_cast<size_t>(shard)].loans.erase(lender) > 0) {
      this->ExpireLoans(shard, now);
    }
  }
}

// A response or an offer that was under way when the loans were dropped may
// bring a loan that its lender has ended, or one of a process that has ended.
Instant RatePool::IgnoredUpTo(ShardId shard, const std::string& lender) const {
  Instant latest = this->started_at;
  for (const auto* dropped :
       {&this->dropped_at,
        &this->shards[static_cast<size_t>(shard)].dropped_at}) {
    const auto found = dropped->find(lender);
    latest = found == dropped->end() ? latest : std::max(latest, found->second);
  }
  return latest;
}

double RatePool::LoanedFraction(ShardId shard, Instant now) {
  return this->ExpireLoans(shard, now).history.Current();
}

// Loans that expired since the last call are removed one by one, each at its
// own expiry time, so that no bucket fills from a share after the loan expired.
RatePool::ShardState& RatePool::ExpireLoans(ShardId shard, Instant now) {
  ShardState& state = this->shards[static_cast<size_t>(shard)];
  const auto sum_of_fractions = [&] {
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
    const Instant expired_at = first->second.expires;
    state.loans.erase(first);
    state.history.Record(sum_of_fractions(), expired_at);
  }
  state.history.Record(sum_of_fractions(), now);
  return state;
}

// The tokens in a bucket and the outstanding permits together never exceed the
// depth of the bucket. This invariant keeps the requests of every time window
// within the rate limit.
void RatePool::ExpirePermitsAndRefill(Bucket& bucket,
                                      const ShardState& shard,
                                      Instant now) {
  while (!bucket.outstanding.empty() &&
         bucket.outstanding.front().expires <= now) {
    const OutstandingPermits& oldest = bucket.outstanding.front();
    shard.history.RefillBucket(bucket.tokens, bucket.limit,
                               bucket.outstanding_count, oldest.expires);
    bucket.outstanding_count -= oldest.count;
    bucket.outstanding.pop_front();
  }
  shard.history.RefillBucket(bucket.tokens, bucket.limit,
                             bucket.outstanding_count, now);
}

RatePool::Bucket& RatePool::FindOrCreateBucket(const std::string& organisation,
                                               const RateLimit& limit,
                                               Instant now) {
  const ShardState& shard = this->ExpireLoans(ShardOf(organisation), now);
  auto found = this->buckets.find(organisation);
  if (found == this->buckets.end()) {
    found = this->buckets
                .emplace(organisation,
                         Bucket(shard.history.Replay(limit, now), limit))
                .first;
  }
  Bucket& bucket = found->second;
  ExpirePermitsAndRefill(bucket, shard, now);
  bucket.limit = limit;
  ExpirePermitsAndRefill(bucket, shard, now);
  return bucket;
}

PermitGrant RatePool::Acquire(const std::string& organisation,
                              int wanted,
                              const RateLimit& limit,
                              Instant now) {
  Bucket& bucket = this->FindOrCreateBucket(organisation, limit, now);
  const ShardId shard = ShardOf(organisation);
  const double fraction =
      this->shards[static_cast<size_t>(shard)].history.Current();
  if (fraction <= 0) {
    return {.retry_after = kRetryAfterWithoutLoan,
            .lifetime = PermitLifetime(limit),
            .has_no_loans = true};
  }
  const Duration lifetime = PermitLifetime(limit);
  const int granted = bucket.tokens.Take(wanted);
  if (granted > 0) {
    bucket.outstanding.push_back({.count = granted, .expires = now + lifetime});
    bucket.outstanding_count += granted;
  }
  PermitGrant grant{
      .granted = granted, .lifetime = lifetime, .pooled_fraction = fraction};
  if (granted < wanted) {
    grant.retry_after = bucket.tokens.TimeToNextToken(Scaled(limit, fraction));
  }
  return grant;
}

void RatePool::RemoveRedundantBuckets(Instant now) {
  for (ShardId shard = 0; shard < kShardCount; ++shard) {
    this->ExpireLoans(shard, now);
  }
  for (auto at = this->buckets.begin(); at != this->buckets.end();) {
    const ShardState& shard =
        this->shards[static_cast<size_t>(ShardOf(at->first))];
    Bucket& bucket = at->second;
    ExpirePermitsAndRefill(bucket, shard, now);
    const double recreated_tokens =
        shard.history.Replay(bucket.limit, now).tokens();
    const bool redundant = bucket.outstanding.empty() &&
                           recreated_tokens <= bucket.tokens.tokens();
    at = redundant ? this->buckets.erase(at) : std::next(at);
  }
}

}  // namespace kingcupstair::limits
