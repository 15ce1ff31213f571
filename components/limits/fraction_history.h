#ifndef COMPONENTS_LIMITS_FRACTION_HISTORY_H_
#define COMPONENTS_LIMITS_FRACTION_HISTORY_H_

#include <deque>

#include "components/base/time.h"
#include "components/limits/token_bucket.h"

namespace kingcupstair::limits {

/// History of the fraction of a shard's rate limits that a pool host could
/// spend, as steps over time.
class FractionHistory {
 public:
  /// Records that the fraction is `fraction` from `now` on.
  void Record(double fraction, Instant now);

  /// Returns the fraction recorded last, or 0 if none was recorded.
  double Current() const;

  /// Fills and caps `bucket` from its last update up to `now`, at each time
  /// with `limit` scaled by the fraction of that time. `reserved_tokens` of the
  /// depth stay unfilled.
  void RefillBucket(TokenBucket& bucket,
                    const RateLimit& limit,
                    double reserved_tokens,
                    Instant now) const;

  /// Returns the bucket that an organisation with `limit` would have at `now`
  /// if the bucket had started empty with this history and no token were spent.
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
