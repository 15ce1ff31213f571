#ifndef TESTS_SUPPORT_IDEAL_BUCKET_H_
#define TESTS_SUPPORT_IDEAL_BUCKET_H_

#include <algorithm>

#include "components/limits/token_bucket.h"

namespace kingcupstair {

/// One bucket with the whole rate and burst of an organisation. A history of
/// requests is within the limit in every window of time exactly when this
/// bucket never falls below zero.
class IdealBucket {
 public:
  IdealBucket(limits::RateLimit limit, Instant start)
      : limit(limit), level(limit.depth), updated(start) {}

  void Spend(Instant now) {
    const double filled = this->limit.rate * ToSeconds(now - this->updated);
    this->level = std::min(this->limit.depth, this->level + filled) - 1;
    this->updated = now;
    this->lowest = std::min(this->lowest, this->level);
  }

  /// Requests by which the limit was exceeded in the worst window.
  double excess() const { return std::max(0.0, -this->lowest); }

 private:
  limits::RateLimit limit;
  double level;
  Instant updated;
  double lowest = 0;
};

}  // namespace kingcupstair

#endif  // TESTS_SUPPORT_IDEAL_BUCKET_H_
