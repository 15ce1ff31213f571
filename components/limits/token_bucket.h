#ifndef COMPONENTS_LIMITS_TOKEN_BUCKET_H_
#define COMPONENTS_LIMITS_TOKEN_BUCKET_H_

#include "components/base/time.h"

namespace kingcupstair::limits {

/// Limits of a token bucket: its rate in tokens per second and its depth in
/// tokens.
struct RateLimit {
  double rate = 0;
  double depth = 0;

  bool operator==(const RateLimit&) const = default;
};

/// Returns `limit` with its rate and depth multiplied by `fraction`.
RateLimit Scaled(const RateLimit& limit, double fraction);

/// Token bucket whose limit may change between calls. A new bucket is empty.
class TokenBucket {
 public:
  explicit TokenBucket(Instant now) : updated(now) {}

  /// Adds the tokens for the time since the last update at `limit`, then caps
  /// the level at the depth of `limit`.
  void Refill(const RateLimit& limit, Instant now);

  /// Removes up to `wanted` whole tokens and returns the number removed.
  int Take(int wanted);

  /// Lowers the level to `cap`, or to 0 if `cap` is negative. A lower level
  /// stays as it is.
  void CapAt(double cap);

  /// Returns the time from the last update until the bucket holds one whole
  /// token at the rate of `limit`, at most one minute.
  Duration TimeToNextToken(const RateLimit& limit) const;

  double tokens() const { return this->level; }
  Instant last_update() const { return this->updated; }

 private:
  double level = 0;
  Instant updated;
};

}  // namespace kingcupstair::limits

#endif  // COMPONENTS_LIMITS_TOKEN_BUCKET_H_
