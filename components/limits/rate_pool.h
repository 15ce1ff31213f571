#ifndef COMPONENTS_LIMITS_RATE_POOL_H_
#define COMPONENTS_LIMITS_RATE_POOL_H_

#include <array>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "components/base/time.h"
#include "components/limits/fraction_history.h"
#include "components/limits/shard.h"
#include "components/limits/share_lender.h"
#include "components/limits/token_bucket.h"

namespace kingcupstair::limits {

/// Longest lifetime of a permit.
inline constexpr Duration kMaxPermitLifetime{std::chrono::milliseconds(250)};

/// Response to a host that requested permits.
struct PermitGrant {
  /// Number of requests that may start now.
  int granted = 0;
  /// Delay before a new permit request is useful, if fewer permits were granted
  /// than wanted.
  Duration retry_after{};
  /// Lifetime of the permits, counted from when the host sent its permit
  /// request.
  Duration lifetime{};
  /// Sum of the shares on loan to the pool host, from 0 to 1.
  double pooled_fraction = 0;
  /// Set if the responding host has no loans: it is not the pool host, or not
  /// yet.
  bool has_no_loans = false;
  /// Set if the responding host relayed the permit request for another host and
  /// got no response from the pool host.
  bool pool_host_unresponsive = false;
  /// Loan sequence number for the next loan offer of the requesting host.
  uint64_t loan_sequence_number = 0;

  bool operator==(const PermitGrant&) const = default;
};

/// Pool of the shares lent to one pool host. For each organisation the pool has
/// a token bucket, whose rate and depth are those of the organisation times the
/// fraction on loan.
class RatePool {
 public:
  /// Records a loan that was received at `now`. `requested_at` is the time when
  /// this host sent the loan request. The lifetime of the loan starts then, so
  /// delay and loss of messages only shorten the loan.
  void AddLoan(ShardId shard,
               const std::string& lender,
               const LoanGrant& grant,
               Instant requested_at,
               Instant now);

  /// Returns the loan sequence number of `now`. Loans offered with this number
  /// start at `now`.
  static uint64_t LoanSequenceNumberAt(Instant now);

  /// Records the loans of an offer from `lender`. Ignores the offer for a shard
  /// of which a loan was dropped since the sequence number of the offer was
  /// issued, and for a shard whose loan from `lender` would not be extended.
  /// Ignores a sequence number later than `now` altogether.
  void AcceptOffer(const std::string& lender,
                   const LoanOffer& offer,
                   Instant now);

  /// Returns when the loan of `lender` expires, or a time in the past if there
  /// is no loan.
  Instant LoanExpiry(ShardId shard, const std::string& lender) const;

  /// Returns the shards on loan to this host, by lender.
  std::map<std::string, std::vector<ShardId>> ShardsByLender() const;

  /// Drops a loan before it expires. Offers of loans of `shard` with a sequence
  /// number up to `now`, and grants of `lender` that were requested up to then,
  /// are ignored from then on.
  void DropLoan(ShardId shard, const std::string& lender, Instant now);

  /// Drops all loans of `lender`. Grants and offers of loans that were
  /// requested up to `now` are ignored from then on.
  void DropLoansOf(const std::string& lender, Instant now);

  /// Ignores grants and offers of loans that were requested up to `start`, when
  /// this process started.
  void IgnoreLoansBefore(Instant start) { this->started_at = start; }

  /// Returns the fraction of the rate limits of `shard` that this host may
  /// spend at `now`.
  double LoanedFraction(ShardId shard, Instant now);

  /// Grants up to `wanted` permits to `organisation`. `limit` is the rate limit
  /// of the organisation over all hosts.
  PermitGrant Acquire(const std::string& organisation,
                      int wanted,
                      const RateLimit& limit,
                      Instant now);

  /// Removes buckets that have no outstanding permits and would be no fuller if
  /// they were created again.
  void RemoveRedundantBuckets(Instant now);

  size_t bucket_count() const { return this->buckets.size(); }

 private:
  struct Loan {
    double fraction = 0;
    Instant expires;
  };

  struct ShardState {
    std::map<std::string, Loan> loans;
    FractionHistory history;
    /// Time when a loan of this shard was last dropped.
    Instant last_drop;
    /// Time when the loan of a lender was last dropped.
    std::map<std::string, Instant> dropped_at;
  };

  struct OutstandingPermits {
    int count = 0;
    Instant expires;
  };

  struct Bucket {
    Bucket(TokenBucket tokens, const RateLimit& limit)
        : tokens(tokens), limit(limit) {}

    TokenBucket tokens;
    RateLimit limit;
    std::deque<OutstandingPermits> outstanding;
    int outstanding_count = 0;
  };

  /// Returns the time up to which requested loans of `shard` from `lender` are
  /// ignored.
  Instant IgnoredUpTo(ShardId shard, const std::string& lender) const;
  ShardState& ExpireLoans(ShardId shard, Instant now);
  static void ExpirePermitsAndRefill(Bucket& bucket,
                                     const ShardState& shard,
                                     Instant now);
  Bucket& FindOrCreateBucket(const std::string& organisation,
                             const RateLimit& limit,
                             Instant now);

  std::array<ShardState, kShardCount> shards;
  Instant started_at;
  /// Time when all loans of a lender were last dropped.
  std::map<std::string, Instant> dropped_at;
  std::unordered_map<std::string, Bucket> buckets;
};

}  // namespace kingcupstair::limits

#endif  // COMPONENTS_LIMITS_RATE_POOL_H_
