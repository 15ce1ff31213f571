#include "components/limits/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace kingcupstair::limits {
namespace {

constexpr Duration kMaxTimeToNextToken{std::chrono::seconds(60)};

}  // namespace

RateLimit Scaled(const RateLimit& limit, double fraction) {
  return {.rate = limit.rate * fraction, .depth = limit.depth * fraction};
}

void TokenBucket::Refill(const RateLimit& limit, Instant now) {
  if (now > this->updated) {
    this->level += limit.rate * ToSeconds(now - this->updated);
    this->updated = now;
  }
  this->CapAt(limit.depth);
}

int TokenBucket::Take(int wanted) {
  const int taken = std::clamp(static_cast<int>(this->level), 0, wanted);
  this->level -= taken;
  return taken;
}

void TokenBucket::CapAt(double cap) {
  this->level = std::min(this->level, std::max(cap, 0.0));
}

Duration TokenBucket::TimeToNextToken(const RateLimit& limit) const {
  const double missing = 1 - this->level;
  if (missing <= 0) {
    return {};
  }
  if (limit.rate <= 0) {
    return kMaxTimeToNextToken;
  }
  const auto time =
      Duration(static_cast<int64_t>(std::ceil(missing / limit.rate * 1e6)));
  return std::min(time, kMaxTimeToNextToken);
}

}  // namespace kingcupstair::limits
