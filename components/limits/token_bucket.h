#ifndef COMPONENTS_LIMITS_TOKEN_BUCKET_H_
#define COMPONENTS_LIMITS_TOKEN_BUCKET_H_

#include "components/base/time.h"

namespace kingcupstair::limits {

/// A rate in tokens a second and a depth in tokens.
struct RateLimit {
  double rate = 0;
  double depth = 0;

  bool operator==(const RateLimit&) const = default;
};

/// `limit` with rate and depth times `fraction`.
RateLimit Scaled(const RateLimit& limit, double fraction);

/// A token bucket whose limit may change between calls. It starts empty.
class TokenBucket {
 public:
  explicit TokenBucket(Instant now) : updated(now) {}

  /// Fills for the time since the last call, then caps at the depth.
  void Refill(const RateLimit& limit, Instant now);

  /// Takes up to `wanted` whole tokens and gives how many there were.
  int Take(int wanted);

  /// Lowers the level to `cap` if it is above.
  void CapAt(double cap);

  /// The time after which one whole token is there, at `limit`.
  Duration TimeToNext(const RateLimit& limit) const;

  double tokens() const { return this->level; }
  Instant last_update() const { return this->updated; }

 private:
  double level = 0;
  Instant updated;
};

}  // namespace kingcupstair::limits

#endif  // COMPONENTS_LIMITS_TOKEN_BUCKET_H_
