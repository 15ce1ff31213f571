#include "components/ingress/permit_client.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "components/fibers/worker_pool.h"

namespace kingcupstair::ingress {
namespace {

constexpr int kTooManyRequests = 429;
/// Minimum Retry-After for an organisation above its rate limit.
constexpr Duration kMinOverRateRetryAfter{std::chrono::milliseconds(200)};

}  // namespace

PermitClient::PermitClient(Options options) : options(std::move(options)) {}

std::optional<Problem> PermitClient::Acquire(
    const config::OrganisationRule& rule,
    const AdmittedRequest& admitted) {
  const limits::PermitGrant grant = this->WaitForPermit(admitted);
  if (grant.granted > 0) {
    return std::nullopt;
  }
  return Problem{
      .status = kTooManyRequests,
      .reason = "over_rate",
      .retry_after = std::max(grant.retry_after, kMinOverRateRetryAfter),
      .inputs = {
          {.name = "rate", .value = absl::StrCat(rule.rate)},
          {.name = "burst", .value = absl::StrCat(rule.burst)},
          {.name = "pooled", .value = absl::StrCat(grant.pooled_fraction)}}};
}

limits::PermitGrant PermitClient::WaitForPermit(
    const AdmittedRequest& admitted) {
  limits::PermitWaitPolicy::RequestState wait{.arrived = admitted.arrived,
                                              .deadline = admitted.deadline};
  limits::PermitGrant grant;
  while (true) {
    const Instant asked_at = MonotonicNow();
    grant = this->options.acquire(admitted.organisation, admitted.service);
    const Instant now = MonotonicNow();
    if (grant.granted > 0 && now - asked_at < grant.lifetime) {
      break;
    }
    grant.granted = 0;
    ++wait.failed_permit_requests;
    const auto delay = this->DelayBeforeNextAsk(admitted, grant, wait);
    if (!delay.has_value() || admitted.caller->IsCancelled() ||
        MonotonicNow() + *delay >= this->options.respond_by()) {
      break;
    }
    fibers::SleepFor(*delay);
  }
  if (wait.is_waiting) {
    const std::lock_guard lock(this->mutex);
    this->wait_policy.EndWait(admitted.organisation);
  }
  return grant;
}

std::optional<Duration> PermitClient::DelayBeforeNextAsk(
    const AdmittedRequest& admitted,
    const limits::PermitGrant& grant,
    limits::PermitWaitPolicy::RequestState& wait) {
  const std::lock_guard lock(this->mutex);
  return this->wait_policy.DelayBeforeNextTry(admitted.organisation, grant,
                                              wait, MonotonicNow());
}

// Internal requests are counted as calls of the upstreams that make them.
void PermitClient::CountWithoutPermit(const AdmittedRequest& admitted) {
  if (!admitted.route.internal) {
    const std::lock_guard lock(this->mutex);
    ++this->uncounted[admitted.service];
  }
}

int PermitClient::TakeUncountedRequests(const std::string& service) {
  const std::lock_guard lock(this->mutex);
  return std::exchange(this->uncounted[service], 0);
}

bool PermitClient::TryRetry(const AdmittedRequest& admitted) {
  return this->options.try_retry(
      {.organisation = admitted.organisation,
       .service = admitted.service,
       .requests_without_permit =
           this->TakeUncountedRequests(admitted.service)});
}

}  // namespace kingcupstair::ingress
