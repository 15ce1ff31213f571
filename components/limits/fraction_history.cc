#include "components/limits/fraction_history.h"

#include <algorithm>

namespace kingcupstair::limits {
namespace {

constexpr size_t kMaxSteps = 256;

}  // namespace

// Dropping the oldest step is safe: a replay starts with an empty bucket, so a
// shorter history yields fewer tokens.
void FractionHistory::Record(double fraction, Instant now) {
  if (!this->steps.empty() && this->steps.back().fraction == fraction) {
    return;
  }
  this->steps.push_back({.from = now, .fraction = fraction});
  if (this->steps.size() > kMaxSteps) {
    this->steps.pop_front();
  }
}

double FractionHistory::Current() const {
  return this->steps.empty() ? 0 : this->steps.back().fraction;
}

// The fractions before the first step are not recorded any more. A bucket that
// was last updated before that step restarts empty, because its refill for the
// unrecorded time is unknown.
void FractionHistory::RefillBucket(TokenBucket& bucket,
                                   const RateLimit& limit,
                                   double reserved_tokens,
                                   Instant now) const {
  if (this->steps.empty()) {
    bucket = TokenBucket(now);
    return;
  }
  if (bucket.last_update() < this->steps.front().from) {
    bucket = TokenBucket(this->steps.front().from);
  }
  for (size_t i = 0; i < this->steps.size(); ++i) {
    const bool last = i + 1 == this->steps.size();
    const Instant until = last ? now : std::min(now, this->steps[i + 1].from);
    if (until < bucket.last_update()) {
      continue;
    }
    RateLimit scaled = Scaled(limit, this->steps[i].fraction);
    scaled.depth -= reserved_tokens;
    bucket.Refill(scaled, until);
  }
}

TokenBucket FractionHistory::Replay(const RateLimit& limit, Instant now) const {
  TokenBucket bucket(this->steps.empty() ? now : this->steps.front().from);
  this->RefillBucket(bucket, limit, 0, now);
  return bucket;
}

}  // namespace kingcupstair::limits
