#include "components/ingress/permit_desk.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "components/fibers/worker_pool.h"

namespace kingcupstair::ingress {
namespace {

constexpr int kTooManyRequests = 429;
/// The shortest time after which a caller over its rate should come back.
constexpr Duration kLeastOverRate{std::chrono::milliseconds(200)};

}  // namespace

PermitDesk::PermitDesk(Options options) : options(std::move(options)) {}

std::optional<Problem> PermitDesk::Take(const config::OrganisationRule& rule,
                                        const AdmittedRequest& admitted) {
  const limits::PermitGrant grant = this->WaitForPermit(admitted);
  if (grant.granted > 0) {
    return std::nullopt;
  }
  return Problem{
      .status = kTooManyRequests,
      .reason = "over_rate",
      .retry_after = std::max(grant.retry_after, kLeastOverRate),
      .inputs = {{.name = "rate", .value = absl::StrCat(rule.rate)},
                 {.name = "burst", .value = absl::StrCat(rule.burst)},
                 {.name = "pooled", .value = absl::StrCat(grant.fraction)}}};
}

limits::PermitGrant PermitDesk::WaitForPermit(const AdmittedRequest& admitted) {
  limits::PermitPatience::Wait wait{.arrived = admitted.arrived,
                                    .deadline = admitted.deadline};
  limits::PermitGrant grant;
  while (true) {
    const Instant asked = MonotonicNow();
    grant = this->options.acquire(admitted.organisation, admitted.service);
    const Instant now = MonotonicNow();
    if (grant.granted > 0 && now - asked < grant.life) {
      break;
    }
    grant.granted = 0;
    ++wait.asks;
    const auto pause = this->PauseForPermit(admitted, grant, wait);
    if (!pause.has_value() || admitted.caller->IsCancelled()) {
      break;
    }
    fibers::SleepFor(*pause);
  }
  if (wait.waits) {
    const std::lock_guard lock(this->mutex);
    this->patience.End(admitted.organisation);
  }
  return grant;
}

std::optional<Duration> PermitDesk::PauseForPermit(
    const AdmittedRequest& admitted,
    const limits::PermitGrant& grant,
    limits::PermitPatience::Wait& wait) {
  const std::lock_guard lock(this->mutex);
  return this->patience.NextAsk(admitted.organisation, grant, wait,
                                MonotonicNow());
}

// What upstreams call for is part of requests that were counted.
void PermitDesk::PassWithout(const AdmittedRequest& admitted) {
  if (!admitted.route.internal) {
    const std::lock_guard lock(this->mutex);
    ++this->uncounted[admitted.service];
  }
}

int PermitDesk::TakeUncounted(const std::string& service) {
  const std::lock_guard lock(this->mutex);
  return std::exchange(this->uncounted[service], 0);
}

bool PermitDesk::MayRetry(const AdmittedRequest& admitted) {
  return this->options.may_retry(
      {.organisation = admitted.organisation,
       .service = admitted.service,
       .uncounted = this->TakeUncounted(admitted.service)});
}

}  // namespace kingcupstair::ingress
