#include "components/admission/concurrency_limit.h"

#include <algorithm>

namespace kingcupstair::admission {
namespace {

constexpr double kRecentWeight = 0.3;
constexpr double kUsualWeightUp = 0.01;
constexpr double kUsualWeightDown = 0.2;
/// Recent latency above this multiple of the usual one lowers the limit.
constexpr double kCongestedMultiple = 2;
/// Single latencies above this multiple, several in a row, mean that the
/// upstream is cold again.
constexpr double kColdMultiple = 4;
constexpr int kColdAnswersInRow = 3;
constexpr double kLowerFactor = 0.7;
constexpr Duration kLowerInterval{std::chrono::milliseconds(200)};
/// Differences below this are noise, whatever the multiple.
constexpr double kNoiseMicros = 2'000;
/// Answers, for each request that may run at once, that earn one more.
constexpr double kAnswersPerStep = 10;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(Options options) : options(options) {}

void ConcurrencyLimit::OnSuccess(Duration latency, Instant now) {
  const auto micros = static_cast<double>(latency.count());
  if (this->LooksCold(micros)) {
    this->Restart();
    return;
  }
  this->NoteLatency(micros);
  if (this->recent > this->usual * kCongestedMultiple + kNoiseMicros) {
    this->Lower(now);
    return;
  }
  this->value += 1 / (kAnswersPerStep * this->value);
  this->value = std::min(this->value, static_cast<double>(this->options.slots));
}

void ConcurrencyLimit::OnFailure(Instant now) {
  this->Lower(now);
}

// The usual latency is learnt anew: a cold upstream's first answers say
// nothing about what it takes when warm.
void ConcurrencyLimit::Restart() {
  this->value = 1;
  this->recent = 0;
  this->slow_in_row = 0;
}

int ConcurrencyLimit::limit() const {
  return std::max(1, static_cast<int>(this->value));
}

void ConcurrencyLimit::NoteLatency(double micros) {
  if (this->usual == 0) {
    this->usual = micros;
  }
  if (this->recent == 0) {
    this->recent = micros;
  }
  const double weight =
      micros > this->usual ? kUsualWeightUp : kUsualWeightDown;
  this->usual += weight * (micros - this->usual);
  this->recent += kRecentWeight * (micros - this->recent);
}

bool ConcurrencyLimit::LooksCold(double micros) {
  const bool slow =
      this->usual > 0 && micros > this->usual * kColdMultiple + kNoiseMicros;
  this->slow_in_row = slow ? this->slow_in_row + 1 : 0;
  return this->slow_in_row >= kColdAnswersInRow && this->value > 1;
}

// At most one step in an interval: the requests that ran together all tell of
// the same congestion.
void ConcurrencyLimit::Lower(Instant now) {
  if (now - this->lowered_at < kLowerInterval) {
    return;
  }
  this->lowered_at = now;
  this->value = std::max(1.0, this->value * kLowerFactor);
}

}  // namespace kingcupstair::admission
