#include "components/health/failure_detector.h"

#include <algorithm>
#include <cmath>

namespace kingcupstair::health {
namespace {

/// Fraction of the requests that an upstream fails or leaves without a response
/// during a fault episode.
constexpr double kFailureShareInEpisode = 0.75;
/// Mean duration of a fault episode.
constexpr Duration kMeanEpisode{std::chrono::seconds(3)};
/// Probability from which on an upstream is unhealthy.
constexpr double kUnhealthyProbability = 0.6;
/// Probability from which on an upstream is suspected. An upstream without
/// recent results is suspected too if it is often failing: others, with recent
/// successes, are better for requests that can't be sent again.
constexpr double kSuspectedProbability = 0.2;
/// A request in flight for longer than this fraction of its latency objective
/// counts as a failure. Objectives are about three times the latency of a sound
/// upstream.
constexpr double kHangingFraction = 0.7;
/// A request cancelled after this fraction of its latency objective counts as
/// failed. Such a request is cancelled because, without a response from this
/// upstream, it was also sent to another one.
constexpr double kLateCancellationFraction = 0.5;
/// Time between two trial requests to an unhealthy upstream.
constexpr Duration kTrialInterval{std::chrono::milliseconds(400)};
/// Weight of one result in the learned error rate and latency.
constexpr double kResultWeight = 0.04;
/// Time constant of the learned fraction of time in fault episodes: many
/// episodes.
constexpr Duration kEpisodeMemory{std::chrono::seconds(60)};
/// Longest time without results that counts for the learned fraction.
constexpr Duration kMaxLearningGap{std::chrono::seconds(2)};
constexpr double kMinFailingFraction = 0.03;
constexpr double kMaxFailingFraction = 0.4;
constexpr double kMinErrorRate = 0.01;
constexpr double kMaxErrorRate = 0.3;
constexpr double kMinLatencyFraction = 0.02;
constexpr double kMaxLatencyFraction = 0.6;
/// Limits of the probability, so that a change of state is noticed soon.
constexpr double kMinProbability = 0.005;
constexpr double kMaxProbability = 0.995;
constexpr size_t kMaxRecords = 256;

}  // namespace

void FailureDetector::OnStart(const SentRequest& sent, Instant now) {
  const bool timed = sent.objective > Duration{};
  this->in_flight.push_back(
      {.request = sent.request,
       .started = now,
       .objective = sent.objective,
       .non_idempotent = sent.non_idempotent,
       .hangs_at = timed ? now + FractionOf(sent.objective, kHangingFraction)
                         : Instant::max()});
  this->last_start = now;
  while (this->in_flight.size() > kMaxRecords) {
    this->in_flight.pop_front();
  }
}

void FailureDetector::OnEnd(uint64_t request,
                            RequestResult result,
                            Instant now) {
  this->Advance(now);
  const auto found = std::find_if(
      this->in_flight.begin(), this->in_flight.end(),
      [&](const RequestInFlight& each) { return each.request == request; });
  if (found == this->in_flight.end()) {
    return;
  }
  const RequestInFlight ended = *found;
  this->in_flight.erase(found);
  const bool cancelled_late =
      result == RequestResult::kNoEvidence && ended.objective > Duration{} &&
      now - ended.started >=
          FractionOf(ended.objective, kLateCancellationFraction);
  const bool failed = result == RequestResult::kFailure || cancelled_late;
  if (result == RequestResult::kNoEvidence && !cancelled_late) {
    return;
  }
  if (!failed) {
    this->last_success = now;
  }
  if (failed && ended.counted_as_failure) {
    return;
  }
  if (failed) {
    this->ApplyFailure(this->belief);
  } else {
    Multiply(this->belief,
             (1 - kFailureShareInEpisode) / (1 - this->error_rate));
  }
  this->LearnResult(ended, failed, now);
}

// The weight of a result for the sound state is the probability of that state,
// given the result.
void FailureDetector::LearnResult(const RequestInFlight& ended,
                                  bool failed,
                                  Instant now) {
  const double weight = kResultWeight * (1 - this->belief.probability);
  this->error_rate = std::clamp(
      this->error_rate + weight * ((failed ? 1 : 0) - this->error_rate),
      kMinErrorRate, kMaxErrorRate);
  if (!failed && ended.objective > Duration{}) {
    const double fraction =
        ToSeconds(now - ended.started) / ToSeconds(ended.objective);
    this->latency_fraction = std::clamp(
        this->latency_fraction + weight * (fraction - this->latency_fraction),
        kMinLatencyFraction, kMaxLatencyFraction);
  }
}

void FailureDetector::Advance(Instant now) {
  const Duration gap = std::min(now - this->belief.at, kMaxLearningGap);
  this->belief = this->BeliefAt(now);
  for (RequestInFlight& each : this->in_flight) {
    each.counted_as_failure = each.counted_as_failure || each.hangs_at <= now;
  }
  const double weight =
      1 - std::exp(-ToSeconds(gap) / ToSeconds(kEpisodeMemory));
  this->failing_fraction = std::clamp(
      this->failing_fraction +
          weight * (this->belief.probability - this->failing_fraction),
      kMinFailingFraction, kMaxFailingFraction);
}

FailureDetector::Belief FailureDetector::BeliefAt(Instant now) const {
  Belief belief = this->belief;
  for (const RequestInFlight& each : this->in_flight) {
    if (!each.counted_as_failure && each.hangs_at <= now) {
      this->Relax(belief, each.hangs_at);
      this->ApplyFailure(belief);
    }
  }
  this->Relax(belief, now);
  return belief;
}

// A two-state Markov chain. Episodes of the given mean duration that take up
// the learned fraction of time determine both transition rates.
void FailureDetector::Relax(Belief& belief, Instant now) const {
  if (now <= belief.at) {
    return;
  }
  const double rate =
      1 / ToSeconds(kMeanEpisode) / (1 - this->failing_fraction);
  const double kept = std::exp(-rate * ToSeconds(now - belief.at));
  belief.probability = this->failing_fraction +
                       kept * (belief.probability - this->failing_fraction);
  belief.at = now;
}

void FailureDetector::ApplyFailure(Belief& belief) const {
  Multiply(belief, kFailureShareInEpisode / this->error_rate);
}

void FailureDetector::Multiply(Belief& belief, double likelihood_ratio) {
  const double odds =
      belief.probability / (1 - belief.probability) * likelihood_ratio;
  belief.probability =
      std::clamp(odds / (1 + odds), kMinProbability, kMaxProbability);
}

// While the upstream is sound, latencies are taken as exponentially
// distributed. Only requests that were sent since the last success count: the
// upstream was responding until then.
double FailureDetector::SilenceLikelihoodRatio(Instant now) const {
  double waited_latencies = 0;
  for (const RequestInFlight& each : this->in_flight) {
    if (each.objective > Duration{} && !each.counted_as_failure &&
        each.hangs_at > now && this->last_success <= each.started) {
      waited_latencies += ToSeconds(now - each.started) /
                          ToSeconds(each.objective) / this->latency_fraction;
    }
  }
  return 1 - kFailureShareInEpisode +
         kFailureShareInEpisode * std::exp(waited_latencies);
}

double FailureDetector::FailureProbability(Instant now) const {
  Belief current = this->BeliefAt(now);
  Multiply(current, this->SilenceLikelihoodRatio(now));
  return current.probability;
}

bool FailureDetector::IsUnhealthy(Instant now) const {
  return this->FailureProbability(now) >= kUnhealthyProbability;
}

bool FailureDetector::IsSuspected(Instant now) const {
  return this->FailureProbability(now) >= kSuspectedProbability;
}

bool FailureDetector::IsTrialDue(Instant now) const {
  const bool pending = std::any_of(
      this->in_flight.begin(), this->in_flight.end(),
      [&](const RequestInFlight& each) { return now < each.hangs_at; });
  return !pending && now - this->last_start >= kTrialInterval;
}

int FailureDetector::CountNonIdempotentSinceSuccess() const {
  return static_cast<int>(std::count_if(
      this->in_flight.begin(), this->in_flight.end(),
      [&](const RequestInFlight& each) {
        return each.non_idempotent && this->last_success <= each.started;
      }));
}

// What was learned stays: a restarted upstream is of the same kind.
void FailureDetector::Reset() {
  this->in_flight.clear();
  this->last_success = {};
  this->belief.probability = this->failing_fraction;
}

}  // namespace kingcupstair::health
