#include "components/retry/retry_budget.h"

#include <algorithm>

namespace kingcupstair::retry {
namespace {

/// Fraction of the bound that is used. The rest is a reserve for requests that
/// were counted but did not arrive at an upstream.
constexpr double kUsedFraction = 0.9;
/// Fraction of the slack that is available at once. The rest is added evenly
/// over the window, since fault episodes of upstreams follow one another.
constexpr double kBurstFraction = 0.35;

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

bool RetryBudget::TryRetry(const std::string& service,
                           double share,
                           Instant now) {
  double& tokens = this->Refill(service, share, now);
  if (tokens < 1) {
    return false;
  }
  tokens -= 1;
  return true;
}

}  // namespace kingcupstair::retry
