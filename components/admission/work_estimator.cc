#include "components/admission/work_estimator.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace kingcupstair::admission {
namespace {

/// Mean run time of an unknown service as a fraction of the latency objective.
constexpr double kInitialObjectiveFraction = 1.0 / 3;
/// Run time of an unknown service without a latency objective, in seconds.
constexpr double kInitialSeconds = 0.3;
/// Spread of a service that is not known: the middle of what services have.
constexpr double kInitialSpread = 0.6;
/// Number of own observations that weigh as much as the estimate of the
/// service.
constexpr double kPriorCount = 3;
/// Observations after which a class counts as known. Only known classes tell
/// how slow an upstream is.
constexpr double kKnownCount = 5;
/// The limit on the count makes the least weight of an observation 1/100. A
/// slow upstream then changes a class little before its slowness is noticed.
constexpr double kMaxCount = 100;
/// Weight of an observation in the recent deviation of its class. With the
/// widest spread of work, 0.8, the deviation then has a standard deviation of
/// 0.13.
constexpr double kDeviationWeight = 0.05;
/// An observation counts as no further from the mean than this factor, so that
/// a single long run neither changes its class nor makes its upstream slow.
const double kMaxDeviation = std::log(8);
/// A slowness within this factor of the usual state is noise: three standard
/// deviations of a class's deviation.
const double kNoise = std::log(1.5);
/// Classes without a response for this long say nothing about the present state
/// of an upstream.
constexpr Duration kDeviationLifetime{std::chrono::seconds(30)};
/// An observation is learned after this time, and only if its upstream was in
/// its usual state until then: slowness shows after about ten responses of a
/// class.
constexpr Duration kLearningDelay{std::chrono::seconds(5)};
/// Observations of one upstream that wait to be learned.
constexpr size_t kMaxPending = 256;
constexpr Duration kForgetInterval{std::chrono::minutes(1)};
/// Bodies whose sizes differ by less than a factor of 16 share a bucket.
constexpr int kBitsPerBucket = 4;
constexpr double kMinSeconds = 1e-4;

double NormalCdf(double x) {
  return std::erfc(-x / std::sqrt(2)) / 2;
}

/// Returns the median. Of an even number of values it returns the one of the
/// two in the middle that is nearer to zero, or zero if their signs differ: a
/// choice that favours one sign would let the estimates drift.
double MedianNearestZero(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  const double low = values[(values.size() - 1) / 2];
  const double high = values[values.size() / 2];
  if (low < 0 && high > 0) {
    return 0;
  }
  return std::abs(low) < std::abs(high) ? low : high;
}

Duration FromSeconds(double seconds) {
  constexpr double kMaxSeconds = 3600;
  return Duration(
      static_cast<int64_t>(std::min(seconds, kMaxSeconds) * 1'000'000));
}

}  // namespace

Duration WorkEstimate::Mean() const {
  return FromSeconds(
      std::exp(this->log_mean + this->spread * this->spread / 2));
}

Duration WorkEstimate::Median() const {
  return FromSeconds(std::exp(this->log_mean));
}

// Mean excess of the log-normal distribution. Far in the tail, where both
// probabilities vanish, a run is expected to last for as long again.
Duration WorkEstimate::MeanRemaining(Duration age) const {
  const double seconds = ToSeconds(age);
  if (seconds <= kMinSeconds) {
    return this->Mean();
  }
  constexpr double kMinProbability = 1e-6;
  const double sigma = std::max(this->spread, 0.05);
  const double distance = (this->log_mean - std::log(seconds)) / sigma;
  const double still_running = NormalCdf(distance);
  if (still_running < kMinProbability) {
    return age;
  }
  const double mean = std::exp(this->log_mean + sigma * sigma / 2);
  const double total = mean * NormalCdf(distance + sigma) / still_running;
  return FromSeconds(std::max(total - seconds, kMinSeconds));
}

WorkEstimator::WorkEstimator(Options options) : options(options) {}

WorkEstimator::ClassId WorkEstimator::IdOf(const WorkKey& key) {
  return {
      key.work_class,
      (std::bit_width(key.body_bytes) + kBitsPerBucket - 1) / kBitsPerBucket};
}

WorkEstimator::Learned WorkEstimator::Estimate(const WorkKey& key) const {
  const auto service = this->services.find(key.service);
  const double initial_seconds =
      key.objective > Duration{}
          ? ToSeconds(key.objective) * kInitialObjectiveFraction
          : kInitialSeconds;
  const Learned parent =
      service != this->services.end()
          ? service->second
          : Learned{
                .log_mean = std::log(std::max(initial_seconds, kMinSeconds)),
                .variance = kInitialSpread * kInitialSpread};
  const auto found =
      key.work_class == 0 ? this->classes.end() : this->classes.find(IdOf(key));
  if (found == this->classes.end()) {
    return {.log_mean = parent.log_mean, .variance = parent.variance};
  }
  const Learned& own = found->second;
  const double weight = own.count / (own.count + kPriorCount);
  return {
      .log_mean =
          own.count >= kKnownCount
              ? own.log_mean
              : parent.log_mean + weight * (own.log_mean - parent.log_mean),
      .variance = parent.variance + weight * (own.variance - parent.variance),
      .count = own.count};
}

WorkEstimate WorkEstimator::Work(const WorkKey& key) const {
  const Learned learned = this->Estimate(key);
  return {.log_mean = learned.log_mean, .spread = std::sqrt(learned.variance)};
}

WorkEstimate WorkEstimator::RunTime(const std::string& upstream,
                                    const WorkKey& key) const {
  WorkEstimate estimate = this->Work(key);
  const auto found = this->upstreams.find(upstream);
  if (found != this->upstreams.end()) {
    estimate.log_mean += found->second.usual + found->second.slowness;
  }
  return estimate;
}

double WorkEstimator::Slowness(const std::string& upstream) const {
  const auto found = this->upstreams.find(upstream);
  return found == this->upstreams.end() ? 1 : std::exp(found->second.slowness);
}

void WorkEstimator::ResetUpstream(const std::string& upstream) {
  this->upstreams.erase(upstream);
}

// Class and upstream are corrected by turns: a class learns while its upstream
// is in its usual state, and only from what is left after that state; an
// upstream is judged by known classes only. Neither is corrected for an error
// of the other for long, since the state is the median over the classes: one
// class that is wrong doesn't move it, if there are two or more.
void WorkEstimator::Observe(const ObservedRun& run, Instant now) {
  this->Forget(now);
  Upstream& upstream = this->upstreams[run.upstream];
  upstream.last_seen = now;
  const double log_time =
      std::log(std::max(ToSeconds(run.latency), kMinSeconds));
  const Learned before = this->Estimate(run.key);
  const double deviation = std::clamp(
      log_time - upstream.usual - before.log_mean,
      upstream.slowness - kMaxDeviation, upstream.slowness + kMaxDeviation);
  const ClassId id = IdOf(run.key);
  if (run.key.work_class != 0 && before.count >= kKnownCount) {
    Deviation& recent = upstream.deviations[id];
    recent.value += kDeviationWeight * (deviation - recent.value);
    recent.last_seen = now;
    this->UpdateSlowness(upstream, now);
  }
  if (!run.upstream_sound || std::abs(upstream.slowness) > kNoise) {
    upstream.pending.clear();
    return;
  }
  upstream.pending.push_back({.service = run.key.service,
                              .id = id,
                              .log_work = before.log_mean + deviation,
                              .at = now});
  const bool known = run.key.work_class == 0 || before.count >= kKnownCount;
  while (!upstream.pending.empty() &&
         (!known || now - upstream.pending.front().at >= kLearningDelay ||
          upstream.pending.size() > kMaxPending)) {
    this->LearnPending(upstream.pending.front());
    upstream.pending.pop_front();
  }
}

void WorkEstimator::LearnPending(const Pending& pending) {
  Learn(this->services[pending.service], pending.log_work, pending.at);
  if (pending.id.first == 0) {
    return;
  }
  if (!this->classes.contains(pending.id)) {
    this->EvictOldestClass();
  }
  Learn(this->classes[pending.id], pending.log_work, pending.at);
}

void WorkEstimator::Learn(Learned& learned, double log_time, Instant now) {
  if (learned.count == 0) {
    learned.log_mean = log_time;
    learned.variance = kInitialSpread * kInitialSpread;
  }
  learned.count = std::min(learned.count + 1, kMaxCount);
  learned.last_seen = now;
  const double difference = log_time - learned.log_mean;
  learned.log_mean += difference / learned.count;
  // The initial spread counts as some observations.
  learned.variance += (difference * difference - learned.variance) /
                      (learned.count + kPriorCount);
}

void WorkEstimator::UpdateSlowness(Upstream& upstream, Instant now) const {
  std::erase_if(upstream.deviations, [&](const auto& entry) {
    return now - entry.second.last_seen > kDeviationLifetime;
  });
  std::vector<double> values;
  values.reserve(upstream.deviations.size());
  for (const auto& [id, deviation] : upstream.deviations) {
    values.push_back(deviation.value);
  }
  upstream.slowness = MedianNearestZero(std::move(values));
  if (std::abs(upstream.slowness) <= kNoise) {
    upstream.deviates_since = now;
  } else if (now - upstream.deviates_since > this->options.slowness_lifetime) {
    upstream.usual += upstream.slowness;
    upstream.slowness = 0;
    upstream.deviations.clear();
    upstream.deviates_since = now;
  }
}

void WorkEstimator::Forget(Instant now) {
  if (now - this->forgot_at < kForgetInterval) {
    return;
  }
  this->forgot_at = now;
  const auto is_old = [&](const auto& entry) {
    return now - entry.second.last_seen > this->options.retention;
  };
  std::erase_if(this->classes, is_old);
  std::erase_if(this->services, is_old);
  std::erase_if(this->upstreams, is_old);
}

void WorkEstimator::EvictOldestClass() {
  if (this->classes.size() < this->options.max_classes) {
    return;
  }
  this->classes.erase(
      std::min_element(this->classes.begin(), this->classes.end(),
                       [](const auto& left, const auto& right) {
                         return left.second.last_seen < right.second.last_seen;
                       }));
}

}  // namespace kingcupstair::admission
