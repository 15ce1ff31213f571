#include "components/retry/retry_budget.h"

#include <algorithm>

namespace kingcupstair::retry {
namespace {

/// Part of the bound that is used; the rest covers hosts that start anew with a
/// full part, and a fleet whose size is not known exactly.
constexpr double kUsedPart = 0.8;

}  // namespace

RetryBudget::RetryBudget(Options options) : options(options) {}

double RetryBudget::Depth(size_t hosts) const {
  return std::max(1.0, kUsedPart * this->options.slack /
                           static_cast<double>(std::max<size_t>(1, hosts)));
}

// What one host has not used is not kept for longer than its depth lasts, so
// in any span all hosts together use no more than earned in it plus the slack.
double& RetryBudget::TokensOf(const std::string& service, size_t hosts) {
  const double depth = this->Depth(hosts);
  double& held = this->tokens.try_emplace(service, depth).first->second;
  held = std::min(held, depth);
  return held;
}

void RetryBudget::OnRequest(const std::string& service, size_t hosts) {
  double& held = this->TokensOf(service, hosts);
  held = std::min(this->Depth(hosts), held + kUsedPart * this->options.ratio);
}

bool RetryBudget::TryRetry(const std::string& service, size_t hosts) {
  double& held = this->TokensOf(service, hosts);
  if (held < 1) {
    return false;
  }
  held -= 1;
  return true;
}

}  // namespace kingcupstair::retry
