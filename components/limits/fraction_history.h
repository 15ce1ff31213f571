#ifndef COMPONENTS_LIMITS_FRACTION_HISTORY_H_
#define COMPONENTS_LIMITS_FRACTION_HISTORY_H_

#include <deque>

#include "components/base/time.h"
#include "components/limits/token_bucket.h"

namespace kingcupstair::limits {

/// The fraction of a shard's limits that a pool has held over time.
class FractionHistory {
 public:
  /// Records that from `now` on the fraction is `fraction`.
  void Set(double fraction, Instant now);

  /// The fraction at present.
  double Current() const;

  /// Fills and caps `bucket` from its last update up to `now`, at each time
  /// with the fraction of `limit` held then. `reserved` tokens of the depth
  /// stay unfilled.
  void Advance(TokenBucket& bucket,
               const RateLimit& limit,
               double reserved,
               Instant now) const;

  /// The bucket that an organisation with `limit` would have now if it had
  /// been kept from the start of this history and nothing were spent.
  TokenBucket Replay(const RateLimit& limit, Instant now) const;

 private:
  struct Step {
    Instant from;
    double fraction = 0;
  };

  std::deque<Step> steps;
};

}  // namespace kingcupstair::limits

#endif  // COMPONENTS_LIMITS_FRACTION_HISTORY_H_
