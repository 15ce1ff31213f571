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

/// The longest time for which a permit holds.
inline constexpr Duration kMaxPermitLife{std::chrono::milliseconds(250)};

/// The answer to a host that asked for permits.
struct PermitGrant {
  /// Requests that may start now.
  int granted = 0;
  /// When asking again makes sense, if fewer were granted than wanted.
  Duration retry_after{};
  /// How long the permits hold, counted by the asker from its asking.
  Duration life{};
  /// Part of the limits of all hosts that the pool could spend, 0 to 1.
  double fraction = 0;
  /// Nobody lends to the host asked: it does not pool, or not yet.
  bool pools_nothing = false;
  /// The host asked on behalf of another got no answer from the pool.
  bool pool_silent = false;
  /// To be put into the asker's next offer.
  uint64_t mark = 0;

  bool operator==(const PermitGrant&) const = default;
};

/// Spends the shares lent to one host: for each organisation a bucket whose
/// rate and depth are those of the organisation times the fraction on loan.
class RatePool {
 public:
  /// Notes a loan that has come in now. `asked` is when this host sent the ask,
  /// so delay and loss only shorten the loan.
  void AddLoan(ShardId shard,
               const std::string& lender,
               const LoanGrant& grant,
               Instant asked,
               Instant now);

  /// A mark for offers that are made from now on.
  static uint64_t MarkAt(Instant now);

  /// Notes a loan that was offered.
  void TakeOffer(const std::string& lender,
                 const LoanOffer& offer,
                 Instant now);

  /// When the loan of `lender` ends, in the past if there is none.
  Instant LoanEnd(ShardId shard, const std::string& lender) const;

  /// The shards that are on loan here, by lender.
  std::map<std::string, std::vector<ShardId>> Loans() const;

  /// Gives up a loan before its end. No offer made before is taken any more.
  void DropLoan(ShardId shard, const std::string& lender, Instant now);

  /// The fraction of the limits of `shard` that may be spent here now.
  double Fraction(ShardId shard, Instant now);

  /// Takes permits for `organisation`, whose limits over all hosts are
  /// `limit`.
  PermitGrant Acquire(const std::string& organisation,
                      int wanted,
                      const RateLimit& limit,
                      Instant now);

  /// Forgets buckets that would be no fuller if they were made anew.
  void ForgetIdle(Instant now);

  size_t bucket_count() const { return this->buckets.size(); }

 private:
  struct Loan {
    double fraction = 0;
    Instant expires;
  };

  struct Shard {
    std::map<std::string, Loan> loans;
    FractionHistory history;
    Instant dropped_at;
  };

  struct Outstanding {
    int count = 0;
    Instant expires;
  };

  struct Bucket {
    Bucket(TokenBucket tokens, const RateLimit& limit)
        : tokens(tokens), limit(limit) {}

    TokenBucket tokens;
    RateLimit limit;
    std::deque<Outstanding> outstanding;
    int outstanding_count = 0;
  };

  Shard& Refresh(ShardId shard, Instant now);
  static void Settle(Bucket& bucket, const Shard& shard, Instant now);
  Bucket& FindBucket(const std::string& organisation,
                     const RateLimit& limit,
                     Instant now);

  std::array<Shard, kShardCount> shards;
  std::unordered_map<std::string, Bucket> buckets;
};

}  // namespace kingcupstair::limits

#endif  // COMPONENTS_LIMITS_RATE_POOL_H_
