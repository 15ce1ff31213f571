#ifndef COMPONENTS_HEALTH_UPSTREAM_JUDGE_H_
#define COMPONENTS_HEALTH_UPSTREAM_JUDGE_H_

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

/// Failure detector for one upstream, based on the latest requests that its
/// guard sent to the upstream. Covers upstreams that hang or fail most requests
/// for some seconds while their health endpoint still reports them as healthy.
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

  /// Returns true if the upstream is unhealthy: several of the latest
  /// requests failed, or are in flight for longer than a healthy upstream
  /// takes.
  bool IsUnhealthy(Instant now) const;

  /// Returns true if the upstream is suspected: its requests in flight have
  /// together waited for longer than a healthy upstream often takes, and no
  /// successful response has come since they were sent. Weaker evidence than
  /// for an unhealthy upstream, and available sooner.
  bool IsSuspected(Instant now) const;

  /// Returns true if a request is in flight that does not count as hanging yet.
  bool HasPendingRequest(Instant now) const;

  /// Returns the number of non-idempotent requests in flight that were sent
  /// since the last successful response: the requests lost if the upstream has
  /// begun to hang.
  int CountNonIdempotentSinceSuccess() const;

  /// Discards all records, as the upstream has restarted.
  void Reset();

 private:
  struct RequestRecord {
    uint64_t request = 0;
    Instant started;
    Duration objective;
    bool non_idempotent = false;
    /// The time from which on the request counts as hanging.
    Instant hangs_at;
    bool ended = false;
    RequestResult result = RequestResult::kNoEvidence;
    Instant ended_at;
  };

  struct Counts {
    int failed = 0;
    int counted = 0;
  };

  /// Counts the latest requests that are evidence, and the failed or hanging
  /// ones among them.
  Counts CountLatest(Instant now) const;

  Instant last_success;
  /// In the order of sending.
  std::deque<RequestRecord> requests;
};

}  // namespace kingcupstair::health

#endif  // COMPONENTS_HEALTH_UPSTREAM_JUDGE_H_
