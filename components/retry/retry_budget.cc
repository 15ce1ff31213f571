#include "components/retry/retry_budget.h"

#include <algorithm>

namespace kingcupstair::retry {
namespace {

/// Part of the bound that is used; the rest covers requests that were counted
/// and did not arrive.
constexpr double kUsedPart = 0.9;
/// Part of the slack that may be used at once. The rest comes evenly over the
/// window, since spells of failing upstreams follow one another.
constexpr double kAtOncePart = 0.35;

}  // namespace

RetryBudget::RetryBudget(Options options) : options(options) {}

// Starts with one retry and no more: another holder may have used all of the
// slack just before.
double& RetryBudget::TokensOf(const std::string& service,
                              double share,
                              Instant now) {
  Tokens& known =
      this->tokens.try_emplace(service, Tokens{.held = 1, .filled = now})
          .first->second;
  const double slack = kUsedPart * this->options.slack * share;
  const double windows =
      ToSeconds(now - known.filled) / ToSeconds(this->options.window);
  known.held = std::min(std::max(1.0, slack * kAtOncePart),
                        known.held + windows * slack * (1 - kAtOncePart));
  known.filled = now;
  return known.held;
}

void RetryBudget::OnRequest(const std::string& service,
                            double share,
                            Instant now) {
  this->TokensOf(service, share, now) += kUsedPart * this->options.ratio;
}

bool RetryBudget::TryRetry(const std::string& service,
                           double share,
                           Instant now) {
  double& held = this->TokensOf(service, share, now);
  if (held < 1) {
    return false;
  }
  held -= 1;
  return true;
}

}  // namespace kingcupstair::retry
