#include "components/admission/concurrency_limit.h"

#include <algorithm>

namespace kingcupstair::admission {
namespace {

constexpr double kRecentWeight = 0.3;
constexpr double kBaselineWeightUp = 0.01;
constexpr double kBaselineWeightDown = 0.2;
/// Recent latency above this multiple of the baseline decreases the limit.
constexpr double kCongestedMultiple = 2;
/// Several consecutive responses with a latency above this multiple of the
/// baseline mean that the upstream is cold again.
constexpr double kColdMultiple = 4;
constexpr int kColdConsecutiveResponses = 3;
constexpr double kDecreaseFactor = 0.7;
constexpr Duration kMinDecreaseInterval{std::chrono::milliseconds(200)};
/// Latency differences below this are noise, whatever the multiple.
constexpr double kNoiseMicros = 2'000;
/// Successful responses, for each request that may run at once, that increase
/// the limit by 1.
constexpr double kAnswersPerStep = 10;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(Options options) : options(options) {}

void ConcurrencyLimit::OnSuccess(Duration latency, Instant now) {
  const auto micros = static_cast<double>(latency.count());
  if (this->DetectCold(micros)) {
    this->Reset();
    return;
  }
  this->UpdateLatency(micros);
  if (this->recent_micros >
      this->baseline_micros * kCongestedMultiple + kNoiseMicros) {
    this->Decrease(now);
    return;
  }
  this->value += 1 / (kAnswersPerStep * this->value);
  this->value = std::min(this->value, static_cast<double>(this->options.slots));
}

void ConcurrencyLimit::OnFailure(Instant now) {
  this->Decrease(now);
}

// Recent latency is measured again after a reset, while the baseline is kept:
// the first responses of a cold upstream don't represent its latency when warm.
void ConcurrencyLimit::Reset() {
  this->value = 1;
  this->recent_micros = 0;
  this->consecutive_slow = 0;
}

int ConcurrencyLimit::limit() const {
  return std::max(1, static_cast<int>(this->value));
}

void ConcurrencyLimit::UpdateLatency(double micros) {
  if (this->baseline_micros == 0) {
    this->baseline_micros = micros;
  }
  if (this->recent_micros == 0) {
    this->recent_micros = micros;
  }
  const double weight =
      micros > this->baseline_micros ? kBaselineWeightUp : kBaselineWeightDown;
  this->baseline_micros += weight * (micros - this->baseline_micros);
  this->recent_micros += kRecentWeight * (micros - this->recent_micros);
}

bool ConcurrencyLimit::DetectCold(double micros) {
  const bool slow =
      this->baseline_micros > 0 &&
      micros > this->baseline_micros * kColdMultiple + kNoiseMicros;
  this->consecutive_slow = slow ? this->consecutive_slow + 1 : 0;
  return this->consecutive_slow >= kColdConsecutiveResponses && this->value > 1;
}

// Decreases the limit at most once in an interval, since all requests that ran
// at the same time are slowed down by the same congestion.
void ConcurrencyLimit::Decrease(Instant now) {
  if (now - this->decreased_at < kMinDecreaseInterval) {
    return;
  }
  this->decreased_at = now;
  this->value = std::max(1.0, this->value * kDecreaseFactor);
}

}  // namespace kingcupstair::admission
