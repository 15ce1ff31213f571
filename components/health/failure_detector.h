#ifndef COMPONENTS_HEALTH_FAILURE_DETECTOR_H_
#define COMPONENTS_HEALTH_FAILURE_DETECTOR_H_

#include <cstdint>
#include <deque>

#include "components/base/time.h"

namespace kingcupstair::health {

/// Result of a request at an upstream, as evidence of the upstream's health.
enum class RequestResult {
  kSuccess,     ///< The upstream responded successfully.
  kFailure,     ///< The request failed.
  kNoEvidence,  ///< No evidence about the upstream: the request was cancelled.
};

/// Failure detector for one upstream, based on the requests that its guard sent
/// to the upstream. Covers upstreams that hang or fail most requests for some
/// seconds while their health endpoint still reports them as healthy.
///
/// A Bayesian filter over two states, sound and failing. Each response, each
/// failure and each silence multiplies the odds of the failing state by its
/// likelihood ratio. Between results the probability returns to the fraction of
/// time that the upstream is failing at all, since fault episodes begin and end
/// unseen. How often a sound upstream fails a request, how long it takes, and
/// how often it is failing are learned from its results.
class FailureDetector {
 public:
  /// A request as sent to the upstream.
  struct SentRequest {
    uint64_t request = 0;
    /// Latency objective: time within which a response has full value. Zero if
    /// there is none; such a request never counts as hanging.
    Duration objective{};
    /// The request is non-idempotent: lost if the upstream does not respond,
    /// since it can't be retried elsewhere.
    bool non_idempotent = false;
  };

  /// Records that a request was sent.
  void OnStart(const SentRequest& sent, Instant now);

  /// Records the result of a request. A request that was cancelled late
  /// relative to its objective counts as failed. An unknown `request` is
  /// ignored.
  void OnEnd(uint64_t request, RequestResult result, Instant now);

  /// Returns the probability that the upstream is in a fault episode.
  double FailureProbability(Instant now) const;

  /// Returns true if the upstream is unhealthy: it is probably failing.
  bool IsUnhealthy(Instant now) const;

  /// Returns true if the upstream is suspected: weaker than unhealthy, and
  /// sooner. One failure is enough if the upstream seldom fails a request.
  bool IsSuspected(Instant now) const;

  /// Returns true if a trial request may be sent to an unhealthy upstream: none
  /// is in flight, and the last one was sent some time ago.
  bool IsTrialDue(Instant now) const;

  /// Returns the number of non-idempotent requests in flight that were sent
  /// since the last successful response: the requests lost if the upstream has
  /// begun to hang.
  int CountNonIdempotentSinceSuccess() const;

  /// Discards all records, as the upstream has restarted.
  void Reset();

 private:
  struct RequestInFlight {
    uint64_t request = 0;
    Instant started;
    Duration objective;
    bool non_idempotent = false;
    /// The time from which on the request counts as a failure.
    Instant hangs_at;
    bool counted_as_failure = false;
  };

  /// The probability of the failing state at one time.
  struct Belief {
    double probability = 0;
    Instant at;
  };

  /// Returns the belief at `now`, with the requests that have become late since
  /// the last update counted as failures.
  Belief BeliefAt(Instant now) const;
  /// Brings the belief up to `now` and marks the requests that it counts.
  void Advance(Instant now);
  void Relax(Belief& belief, Instant now) const;
  void ApplyFailure(Belief& belief) const;
  static void Multiply(Belief& belief, double likelihood_ratio);
  /// Returns how much more likely the present silence is if the upstream is
  /// failing.
  double SilenceLikelihoodRatio(Instant now) const;
  void LearnResult(const RequestInFlight& ended, bool failed, Instant now);

  static constexpr double kInitialFailingFraction = 0.15;
  static constexpr double kInitialErrorRate = 0.03;
  static constexpr double kInitialLatencyFraction = 1.0 / 3;

  Belief belief{.probability = kInitialFailingFraction};
  /// Fraction of time that the upstream is failing.
  double failing_fraction = kInitialFailingFraction;
  /// Fraction of requests that the upstream fails while it is sound.
  double error_rate = kInitialErrorRate;
  /// Mean latency of a sound upstream as a fraction of the latency objective.
  double latency_fraction = kInitialLatencyFraction;
  Instant last_success;
  Instant last_start;
  /// In the order of sending.
  std::deque<RequestInFlight> in_flight;
};

}  // namespace kingcupstair::health

#endif  // COMPONENTS_HEALTH_FAILURE_DETECTOR_H_
