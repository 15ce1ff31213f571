#include "components/limits/permit_patience.h"

#include <algorithm>

namespace kingcupstair::limits {
namespace {

// Permit requests after which a request no longer waits for its bucket to
// refill. The bucket of an organisation within its rate limit can be empty for
// a moment after a burst. Waiting that long costs less than a new request from
// the caller.
constexpr int kMaxAsksForRefill = 2;
constexpr Duration kMaxRefillDelay{std::chrono::milliseconds(120)};
// A pool with less than this fraction of all shares has only just taken over.
// Such a pool can't determine yet which organisations are within their rate
// limits. Hosts that are gone for good hold less than the remaining fraction.
constexpr double kMinEstablishedFraction = 0.6;
// Longest wait for a new pool host to take over. The wait covers the loans to
// the previous pool host, which last half a second in a region of some dozen
// hosts, and the time to detect that this host has failed.
constexpr Duration kMaxTakeoverWait{std::chrono::milliseconds(1500)};
// A wait for a takeover ends after one part in this many of the time between
// arrival and deadline. The rest is left for the execution of the request.
constexpr int kDeadlineDivisor = 2;
// Back-off per permit request that returned no permit.
constexpr Duration kTakeoverBackoff{std::chrono::milliseconds(80)};
// Waiting requests of one organisation at one host. Without this bound, a
// caller far above its rate limit would keep all hosts requesting permits.
constexpr int kMaxWaitingRequests = 4;

}  // namespace

std::optional<Duration> PermitWaitPolicy::DelayBeforeNextTry(
    const std::string& organisation,
    const PermitGrant& grant,
    RequestState& wait,
    Instant now) {
  // The buckets of a new pool host start empty, so a request that has waited
  // for the takeover goes on waiting while its bucket fills.
  wait.waits_for_takeover = wait.waits_for_takeover || grant.has_no_loans ||
                            grant.pooled_fraction < kMinEstablishedFraction;
  const auto delay = wait.waits_for_takeover
                         ? this->TakeoverDelay(organisation, wait, now)
                         : RefillDelay(grant, wait);
  if (delay.has_value() && !wait.is_waiting) {
    ++this->waiting_requests[organisation];
    wait.is_waiting = true;
  }
  return delay;
}

std::optional<Duration> PermitWaitPolicy::RefillDelay(
    const PermitGrant& grant,
    const RequestState& wait) {
  if (wait.failed_permit_requests < kMaxAsksForRefill &&
      grant.retry_after <= kMaxRefillDelay) {
    return grant.retry_after;
  }
  return std::nullopt;
}

std::optional<Duration> PermitWaitPolicy::TakeoverDelay(
    const std::string& organisation,
    const RequestState& wait,
    Instant now) const {
  const auto found = this->waiting_requests.find(organisation);
  const bool at_limit = found != this->waiting_requests.end() &&
                        found->second >= kMaxWaitingRequests;
  const Duration delay = kTakeoverBackoff * wait.failed_permit_requests;
  const Instant latest = std::min(
      wait.arrived + kMaxTakeoverWait,
      wait.arrived + (wait.deadline - wait.arrived) / kDeadlineDivisor);
  if (now + delay >= latest || (at_limit && !wait.is_waiting)) {
    return std::nullopt;
  }
  return delay;
}

void PermitWaitPolicy::EndWait(const std::string& organisation) {
  const auto found = this->waiting_requests.find(organisation);
  if (found != this->waiting_requests.end() && --found->second <= 0) {
    this->waiting_requests.erase(found);
  }
}

}  // namespace kingcupstair::limits
