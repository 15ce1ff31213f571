#include "components/retry/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace kingcupstair::retry {
namespace {

/// Fraction of the bound that is used. The rest is a reserve for requests that
/// were counted but did not arrive at an upstream.
constexpr double kUsedFraction = 0.9;
/// Fraction of the slack that is available at once. The rest is added evenly
/// over the window, since fault episodes of upstreams follow one another.
constexpr double kBurstFraction = 0.35;
/// Time constant with which retries and their calls are forgotten when the
/// number of calls per retry is estimated.
constexpr Duration kCallsMemory{std::chrono::seconds(30)};
/// Time constant with which tokens paid in advance for calls are forgotten. A
/// run makes its calls within a second or two. A call that follows much later
/// falls into another window, so its own tokens are charged then.
constexpr Duration kPrepaidMemory{std::chrono::seconds(3)};
/// Upper limit of the estimated number of calls per retry. At first few retries
/// have been granted and the estimate is rough.
constexpr double kMaxCallsPerRetry = 4;

double DecayFactor(Duration elapsed, Duration memory) {
  return std::exp(-ToSeconds(elapsed) / ToSeconds(memory));
}

}  // namespace

RetryBudget::RetryBudget(Options options) : options(options) {}

// The bucket starts with a single retry token: another pool host may have used
// all of the slack just before.
double& RetryBudget::Refill(const std::string& service,
                            double share,
                            Instant now) {
  Bucket& bucket =
      this->buckets
          .try_emplace(service, Bucket{.tokens = 1, .refilled_at = now})
          .first->second;
  const double slack = kUsedFraction * this->options.slack * share;
  const double windows =
      ToSeconds(now - bucket.refilled_at) / ToSeconds(this->options.window);
  bucket.tokens =
      std::min(std::max(1.0, slack * kBurstFraction),
               bucket.tokens + windows * slack * (1 - kBurstFraction));
  bucket.refilled_at = now;
  return bucket.tokens;
}

void RetryBudget::OnRequest(const std::string& service,
                            double share,
                            Instant now) {
  this->Refill(service, share, now) += kUsedFraction * this->options.ratio;
}

RetryBudget::CallingService& RetryBudget::Decay(const std::string& service,
                                                Instant now) {
  CallingService& calling =
      this->calling_services
          .try_emplace(service, CallingService{.decayed_at = now})
          .first->second;
  const Duration elapsed = now - calling.decayed_at;
  calling.decayed_at = now;
  calling.retries *= DecayFactor(elapsed, kCallsMemory);
  for (auto& [name, called] : calling.called) {
    called.calls *= DecayFactor(elapsed, kCallsMemory);
    called.prepaid *= DecayFactor(elapsed, kPrepaidMemory);
  }
  return calling;
}

double RetryBudget::CallsPerRetry(const CallingService& calling,
                                  const CalledService& called) {
  return std::min(called.calls / std::max(1.0, calling.retries),
                  kMaxCallsPerRetry);
}

void RetryBudget::OnCalls(const CallCounts& calls, double share, Instant now) {
  CalledService& called = this->Decay(calls.caller, now).called[calls.service];
  called.calls += calls.by_retries;
  const double paid = std::min(called.prepaid, calls.by_retries);
  called.prepaid -= paid;
  const double by_first_runs = std::max(0.0, calls.calls - calls.by_retries);
  this->Refill(calls.service, share, now) +=
      kUsedFraction * this->options.ratio * by_first_runs -
      (calls.by_retries - paid);
}

// An overdrawn budget refuses retries of the service itself and of all services
// that call it, until its income has paid the debt.
bool RetryBudget::TryRetry(const std::string& service,
                           double share,
                           Instant now) {
  if (this->Refill(service, share, now) < 1) {
    return false;
  }
  CallingService& calling = this->Decay(service, now);
  for (const auto& [name, called] : calling.called) {
    if (this->Refill(name, share, now) < CallsPerRetry(calling, called)) {
      return false;
    }
  }
  this->Refill(service, share, now) -= 1;
  for (auto& [name, called] : calling.called) {
    const double expected = CallsPerRetry(calling, called);
    this->Refill(name, share, now) -= expected;
    called.prepaid += expected;
  }
  calling.retries += 1;
  return true;
}

}  // namespace kingcupstair::retry
