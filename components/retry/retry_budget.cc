#include "components/retry/retry_budget.h"

#include <algorithm>

namespace kingcupstair::retry {
namespace {

/// Part of the bound that is used; the rest covers holders that take over from
/// others, and a fleet whose size is not known exactly.
constexpr double kUsedPart = 0.8;
/// Part of the slack that may be used at once. The rest comes evenly over the
/// window, since spells of failing upstreams follow one another.
constexpr double kAtOncePart = 0.5;

}  // namespace

RetryBudget::RetryBudget(Options options) : options(options) {}

double RetryBudget::SlackPart(size_t holders) const {
  return kUsedPart * this->options.slack /
         static_cast<double>(std::max<size_t>(1, holders));
}

// Starts empty: another holder may have used all of the slack just before.
double& RetryBudget::TokensOf(const std::string& service,
                              size_t holders,
                              Instant now) {
  Tokens& known =
      this->tokens.try_emplace(service, Tokens{.filled = now}).first->second;
  const double slack = this->SlackPart(holders);
  const double windows =
      ToSeconds(now - known.filled) / ToSeconds(this->options.window);
  known.held = std::min(std::max(1.0, slack * kAtOncePart),
                        known.held + windows * slack * (1 - kAtOncePart));
  known.filled = now;
  return known.held;
}

void RetryBudget::OnRequest(const std::string& service,
                            size_t holders,
                            Instant now) {
  this->TokensOf(service, holders, now) += kUsedPart * this->options.ratio;
}

bool RetryBudget::TryRetry(const std::string& service,
                           size_t holders,
                           Instant now) {
  double& held = this->TokensOf(service, holders, now);
  if (held < 1) {
    return false;
  }
  held -= 1;
  return true;
}

}  // namespace kingcupstair::retry
