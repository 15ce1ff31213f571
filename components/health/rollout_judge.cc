#include "components/health/rollout_judge.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "components/base/hash.h"

namespace kingcupstair::health {
namespace {

/// Fraction of the allowed exposure that the canary hosts use. The hosts don't
/// receive equally many requests.
constexpr double kUsedExposure = 0.5;
/// A canary host sends the other half of its requests to the old version, which
/// gives the latencies to compare with.
constexpr double kMaxCanaryFraction = 0.5;
/// Requests of one host in flight at the new version. Bounds what a version
/// that hangs receives before the first request is given up.
constexpr int kMaxInFlight = 8;
/// Turns that may be saved up while the host has few requests.
constexpr double kMaxCredit = 2;
/// Requests that the new version has to serve at this host before it gets a
/// request that may not be sent again.
constexpr int kServedBeforeNonIdempotent = 20;

/// Failure rates of a sound and of a faulty version. A sound one fails up to 3
/// in 100.
constexpr double kSoundFailureRate = 0.04;
constexpr double kFaultyFailureRate = 0.25;
constexpr double kMaxFaultyFailureRate = 0.9;
constexpr double kMaxSoundFailureRate = 0.5;
/// A faulty version fails at least this many times as many as the old one.
constexpr double kFaultyFailureFactor = 3;
constexpr double kOldFailureWeight = 0.02;
/// Log-likelihood ratio from which the version counts as faulty.
constexpr double kThreshold = 6.5;

/// Latency of a faulty version relative to the old one.
constexpr double kFaultyLatencyFactor = 4;
/// Bounds of the natural logarithm of one relative latency. 1 to 3 requests in
/// 100 take 3 to 7 times as long at a sound version too.
constexpr double kMinLogRatio = -2;
constexpr double kMaxLogRatio = 1.8;
/// Responses of the old version on a route before latencies are compared.
constexpr int kMinBaseline = 8;
/// The mean of the old version's latencies follows the last so many.
constexpr int kMaxBaseline = 100;
/// Routes with state of their own. Others count in the sum over all routes.
constexpr size_t kMaxRoutes = 256;

}  // namespace

CanaryRole CanaryRoleOf(const std::string& own,
                        const std::vector<std::string>& hosts,
                        const std::string& service,
                        const std::string& version,
                        double expose_share) {
  const double allowed =
      kUsedExposure * expose_share * static_cast<double>(hosts.size());
  const auto count = std::max<size_t>(1, static_cast<size_t>(allowed));
  const uint64_t order = StableHash({service, " ", version});
  const auto rank = [order](const std::string& host) {
    return std::pair(StableHash(host, order), host);
  };
  const auto own_rank = rank(own);
  size_t before_own = 0;
  for (const std::string& host : hosts) {
    before_own += rank(host) < own_rank ? 1 : 0;
  }
  if (before_own >= count) {
    return {};
  }
  return {.is_canary = true,
          .fraction = std::min(kMaxCanaryFraction,
                               allowed / static_cast<double>(count))};
}

const char* ToText(RollbackReason reason) {
  switch (reason) {
    case RollbackReason::kNone:
      return "none";
    case RollbackReason::kFailures:
      return "failures";
    case RollbackReason::kSlow:
      return "slow";
    case RollbackReason::kTimeUp:
      return "time is up";
    case RollbackReason::kLearned:
      return "learned";
  }
  return "none";
}

bool RolloutJudge::TakeTurn(const CanaryRole& role,
                            bool non_idempotent,
                            Instant now) {
  if (!role.is_canary || this->is_rolled_back() ||
      now - this->options.host_started_at < kMinHostAge) {
    return false;
  }
  this->credit = std::min(this->credit + role.fraction, kMaxCredit);
  if (this->credit < 1 || this->in_flight >= kMaxInFlight ||
      (non_idempotent && this->served < kServedBeforeNonIdempotent)) {
    return false;
  }
  this->credit -= 1;
  return true;
}

void RolloutJudge::OnNewVersionResult(uint64_t route,
                                      VersionEvidence evidence,
                                      Duration latency) {
  this->in_flight = std::max(0, this->in_flight - 1);
  if (evidence == VersionEvidence::kNone) {
    return;
  }
  this->served += evidence == VersionEvidence::kServed ? 1 : 0;
  Sums* own_sums = nullptr;
  if (this->sums.contains(route) || this->sums.size() < kMaxRoutes) {
    own_sums = &this->sums[route];
  }
  if (evidence != VersionEvidence::kAbandoned) {
    const bool failed = evidence == VersionEvidence::kFailed;
    this->CountFailure(this->all_routes.failures, failed);
    if (own_sums != nullptr) {
      this->CountFailure(own_sums->failures, failed);
    }
  }
  Sums unused;
  this->CountLatency(own_sums != nullptr ? *own_sums : unused, route, evidence,
                     latency);
  const Sums& counted = own_sums != nullptr ? *own_sums : unused;
  if (std::max(this->all_routes.failures, counted.failures) >= kThreshold) {
    this->RollBack(RollbackReason::kFailures);
  } else if (std::max(this->all_routes.slowness, counted.slowness) >=
             kThreshold) {
    this->RollBack(RollbackReason::kSlow);
  }
}

void RolloutJudge::CountFailure(double& sum, bool failed) const {
  const double sound = std::clamp(this->old_failure_rate, kSoundFailureRate,
                                  kMaxSoundFailureRate);
  const double faulty = std::clamp(kFaultyFailureFactor * sound,
                                   kFaultyFailureRate, kMaxFaultyFailureRate);
  const double ratio =
      failed ? std::log(faulty / sound) : std::log((1 - faulty) / (1 - sound));
  sum = std::max(0.0, sum + ratio);
}

// The logarithms of the latencies are taken as normally distributed with a
// standard deviation of 1. The real one is 0.3 to 0.8, and 1 to 3 requests in
// 100 take much longer.
void RolloutJudge::CountLatency(Sums& route_sums,
                                uint64_t route,
                                VersionEvidence evidence,
                                Duration latency) {
  const auto baseline = this->baselines.find(route);
  if (evidence == VersionEvidence::kFailed ||
      baseline == this->baselines.end() ||
      baseline->second.served < kMinBaseline) {
    return;
  }
  const double log_latency =
      std::log(static_cast<double>(std::max<int64_t>(1, latency.count())));
  const double log_ratio =
      std::clamp(log_latency - baseline->second.mean_log_latency, kMinLogRatio,
                 kMaxLogRatio);
  const double shift = std::log(kFaultyLatencyFactor);
  const double ratio = shift * (log_ratio - shift / 2);
  if (evidence == VersionEvidence::kAbandoned && ratio < 0) {
    return;
  }
  for (double* sum : {&route_sums.slowness, &this->all_routes.slowness}) {
    *sum = std::max(0.0, *sum + ratio);
  }
}

void RolloutJudge::OnOldVersionResult(uint64_t route,
                                      VersionEvidence evidence,
                                      Duration latency) {
  if (evidence != VersionEvidence::kServed &&
      evidence != VersionEvidence::kFailed) {
    return;
  }
  const bool failed = evidence == VersionEvidence::kFailed;
  this->old_failure_rate +=
      kOldFailureWeight * ((failed ? 1 : 0) - this->old_failure_rate);
  if (failed || (!this->baselines.contains(route) &&
                 this->baselines.size() >= kMaxRoutes)) {
    return;
  }
  Baseline& baseline = this->baselines[route];
  baseline.served = std::min(baseline.served + 1, kMaxBaseline);
  const double log_latency =
      std::log(static_cast<double>(std::max<int64_t>(1, latency.count())));
  baseline.mean_log_latency +=
      (log_latency - baseline.mean_log_latency) / baseline.served;
}

void RolloutJudge::Tick(Instant now) {
  if (now - this->options.ordered_at >= this->options.within) {
    this->RollBack(RollbackReason::kTimeUp);
  }
}

void RolloutJudge::RollBack(RollbackReason found) {
  if (!this->is_rolled_back()) {
    this->reason = found;
  }
}

}  // namespace kingcupstair::health
