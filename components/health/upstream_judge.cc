#include "components/health/upstream_judge.h"

#include <algorithm>

namespace kingcupstair::health {
namespace {

/// Number of latest requests that count. A fault episode lasts for seconds and
/// an upstream gets a few requests per second, so a larger number would include
/// requests from before the episode.
constexpr int kCountedRequests = 4;
/// Failed or hanging requests among them that make an upstream unhealthy. A
/// single one is often a slow request at a healthy upstream.
constexpr int kMinFailuresForUnhealthy = 2;
/// A request in flight for longer than this fraction of its latency objective
/// counts as hanging. Objectives are about three times the latency of a healthy
/// upstream.
constexpr double kHangingFraction = 0.7;
/// A request cancelled after this fraction of its latency objective counts as
/// failed. Such a request is cancelled because, without a response from this
/// upstream, it was also sent to another one.
constexpr double kLateCancellationFraction = 0.5;
/// An upstream is suspected if its requests in flight have together waited for
/// this many latency objectives. A healthy upstream responds within a third of
/// the objective on average. In one of twenty cases, all its requests in flight
/// together wait for three times that average without a response.
constexpr double kSuspicionThresholdObjectives = 0.9;
/// Time for which the result of a request counts. Fault episodes last for
/// seconds.
constexpr Duration kResultLifetime{std::chrono::seconds(6)};
constexpr size_t kMaxRecords = 256;

}  // namespace

void FailureDetector::OnStart(const SentRequest& sent, Instant now) {
  const bool timed = sent.objective > Duration{};
  this->requests.push_back(
      {.request = sent.request,
       .started = now,
       .objective = sent.objective,
       .non_idempotent = sent.non_idempotent,
       .hangs_at = timed ? now + FractionOf(sent.objective, kHangingFraction)
                         : Instant::max()});
  while (this->requests.size() > kMaxRecords) {
    this->requests.pop_front();
  }
}

void FailureDetector::OnEnd(uint64_t request,
                            RequestResult result,
                            Instant now) {
  const auto found = std::find_if(
      this->requests.begin(), this->requests.end(),
      [&](const RequestRecord& each) { return each.request == request; });
  if (found == this->requests.end()) {
    return;
  }
  const bool cancelled_late =
      result == RequestResult::kNoEvidence && found->objective > Duration{} &&
      now - found->started >=
          FractionOf(found->objective, kLateCancellationFraction);
  found->ended = true;
  found->result = cancelled_late ? RequestResult::kFailure : result;
  found->ended_at = now;
  if (result == RequestResult::kSuccess) {
    this->last_success = now;
  }
  std::erase_if(this->requests, [&](const RequestRecord& each) {
    return each.ended && now - each.ended_at > kResultLifetime;
  });
}

// Latest by the time of sending. The success of a request that was sent before
// a fault episode is no evidence about the episode.
FailureDetector::Counts FailureDetector::CountLatest(Instant now) const {
  Counts counts;
  for (auto at = this->requests.rbegin();
       at != this->requests.rend() && counts.counted < kCountedRequests; ++at) {
    const bool hangs = !at->ended && now >= at->hangs_at;
    const bool expired = at->ended && now - at->ended_at > kResultLifetime;
    const bool is_evidence =
        hangs || (at->ended && at->result != RequestResult::kNoEvidence);
    if (!is_evidence || expired) {
      continue;
    }
    ++counts.counted;
    counts.failed += hangs || at->result == RequestResult::kFailure ? 1 : 0;
  }
  return counts;
}

bool FailureDetector::IsUnhealthy(Instant now) const {
  return this->CountLatest(now).failed >= kMinFailuresForUnhealthy;
}

bool FailureDetector::IsSuspected(Instant now) const {
  double waited_objectives = 0;
  for (const RequestRecord& each : this->requests) {
    if (!each.ended && each.objective > Duration{} &&
        this->last_success <= each.started) {
      waited_objectives +=
          ToSeconds(now - each.started) / ToSeconds(each.objective);
    }
  }
  return waited_objectives >= kSuspicionThresholdObjectives;
}

bool FailureDetector::HasPendingRequest(Instant now) const {
  return std::any_of(this->requests.begin(), this->requests.end(),
                     [&](const RequestRecord& each) {
                       return !each.ended && now < each.hangs_at;
                     });
}

int FailureDetector::CountNonIdempotentSinceSuccess() const {
  return static_cast<int>(
      std::count_if(this->requests.begin(), this->requests.end(),
                    [&](const RequestRecord& each) {
                      return !each.ended && each.non_idempotent &&
                             this->last_success <= each.started;
                    }));
}

void FailureDetector::Reset() {
  this->requests.clear();
  this->last_success = {};
}

}  // namespace kingcupstair::health
