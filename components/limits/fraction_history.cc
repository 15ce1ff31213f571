#include "components/limits/fraction_history.h"

#include <algorithm>

namespace kingcupstair::limits {
namespace {

constexpr size_t kMaxSteps = 256;

}  // namespace

// Forgetting the oldest step is safe: replay starts empty, so a shorter
// history gives a lower level.
void FractionHistory::Set(double fraction, Instant now) {
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

// A bucket older than the history has lost the record of the fractions it was
// due, so it starts again from empty.
void FractionHistory::Advance(TokenBucket& bucket,
                              const RateLimit& limit,
                              double reserved,
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
    RateLimit held = Scaled(limit, this->steps[i].fraction);
    held.depth -= reserved;
    bucket.Refill(held, until);
  }
}

TokenBucket FractionHistory::Replay(const RateLimit& limit, Instant now) const {
  TokenBucket bucket(this->steps.empty() ? now : this->steps.front().from);
  this->Advance(bucket, limit, 0, now);
  return bucket;
}

}  // namespace kingcupstair::limits
