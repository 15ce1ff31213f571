#include "components/guard/guard.h"

#include <algorithm>

#include "components/fibers/worker_pool.h"

namespace kingcupstair::guard {
namespace {

/// How long a reserved slot is kept for its request: several round trips
/// between zones on a slow host.
constexpr Duration kReservationLifetime{std::chrono::milliseconds(800)};
/// Maximum number of requests at risk at one upstream; see CountRequestsAtRisk.
/// A healthy busy upstream responds about every 150 ms, and about one such
/// request arrives in that time. If the upstream hangs, all requests within
/// this limit are lost.
constexpr int kMaxRequestsAtRisk = 2;
/// An upstream that has started no request for this long is not refused for
/// being busier than others. A slow upstream that was given many requests at
/// once would get none until they have ended.
constexpr Duration kMaxTimeWithoutStart{std::chrono::milliseconds(700)};
constexpr Duration kBodyMemoryPollInterval{std::chrono::milliseconds(20)};

}  // namespace

rpc::SlotAnswer Guard::Reserve(const once::SlotRequest& request) {
  admission::TicketId ticket = 0;
  {
    const std::lock_guard lock(this->mutex);
    this->LearnNamedRate(request);
    const auto reason = this->ReasonToRefuseSlot(request, MonotonicNow());
    if (reason != once::RefusalReason::kNone) {
      return this->SlotAnswerFor(request.upstream, {.reason = reason}, false);
    }
    ticket = ++this->last_ticket;
  }
  const auto decision = this->WaitForSlot(request, ticket);
  const std::lock_guard lock(this->mutex);
  if (const auto* refused = std::get_if<admission::RefuseTicket>(&decision)) {
    return this->SlotAnswerFor(request.upstream, refused->refusal, false);
  }
  this->reservations[request.request_id] = {
      .ticket = ticket,
      .upstream = request.upstream,
      .non_retryable = request.non_retryable,
      .expires_at = MonotonicNow() + kReservationLifetime};
  return this->SlotAnswerFor(request.upstream, {}, true);
}

// The memory is held before the wait for a slot: a slot that waits for memory
// would be lost to short requests.
rpc::SlotAnswer Guard::ReserveForPeer(const once::SlotRequest& request,
                                      const CancellationPtr& abandoned) {
  const Instant asked_at = MonotonicNow();
  if (!this->WaitForBodyMemory(request, *abandoned)) {
    const std::lock_guard lock(this->mutex);
    const auto reason = this->ReasonToRefuseSlot(request, MonotonicNow());
    return this->SlotAnswerFor(request.upstream,
                               {.reason = reason == once::RefusalReason::kNone
                                              ? once::RefusalReason::kQueueFull
                                              : reason},
                               false);
  }
  once::SlotRequest with_memory = request;
  const Duration waited = MonotonicNow() - asked_at;
  with_memory.max_wait = std::max(Duration{}, request.max_wait - waited);
  with_memory.remaining_time =
      std::max(Duration{}, request.remaining_time - waited);
  rpc::SlotAnswer answer = this->Reserve(with_memory);
  if (answer.granted) {
    abandoned->OnCancel([this, request_id = request.request_id] {
      this->AbandonReservation(request_id);
    });
  } else {
    this->peer_bodies.Drop(request.request_id);
  }
  return answer;
}

void Guard::AbandonReservation(const std::string& request_id) {
  this->peer_bodies.Drop(request_id);
  DeferredWakeups wakeups;
  const std::lock_guard lock(this->mutex);
  this->ReleaseReservation(request_id, wakeups);
}

bool Guard::WaitForBodyMemory(const once::SlotRequest& request,
                              const Cancellation& abandoned) {
  const Instant asked_at = MonotonicNow();
  const Instant expires_at = asked_at + request.remaining_time;
  while (!this->peer_bodies.TryHold(request.request_id, request.body_bytes,
                                    expires_at)) {
    if (MonotonicNow() - asked_at >= request.max_wait ||
        abandoned.IsCancelled()) {
      this->peer_bodies.StopWaiting(request.request_id);
      this->recorder.counters().Add("kingcupstair_body_memory_refusals_total",
                                    {});
      return false;
    }
    fibers::SleepFor(kBodyMemoryPollInterval);
  }
  return true;
}

// A host that has restarted has no response yet that names the limit.
void Guard::LearnNamedRate(const once::SlotRequest& request) {
  const auto found = this->upstreams.find(request.upstream);
  if (request.named_rate > 0 && found != this->upstreams.end() &&
      !found->second.has_responded) {
    found->second.gate->SetNamedRate(request.named_rate, MonotonicNow());
  }
}

// Retryable requests are the trial requests of an upstream that may be failing.
// Once the failure detector finds the upstream unhealthy, they are sent there
// one at a time. Non-retryable requests avoid suspected upstreams as well, and
// upstreams with too many requests at risk.
once::RefusalReason Guard::ReasonToRefuseSlot(const once::SlotRequest& request,
                                              Instant now) const {
  const auto reason =
      this->ReasonToRefuse(request.upstream, request.incarnation);
  if (reason != once::RefusalReason::kNone || request.accept_unhealthy) {
    return reason;
  }
  const GuardedUpstream& upstream = this->upstreams.at(request.upstream);
  if (!upstream.announcement.reports_cold_state) {
    return once::RefusalReason::kNone;
  }
  const health::FailureDetector& detector = upstream.failure_detector;
  const bool refuse =
      request.non_retryable
          ? detector.IsSuspected(now) ||
                this->CountRequestsAtRisk(upstream) >= kMaxRequestsAtRisk
          : detector.IsUnhealthy(now) && !detector.IsTrialDue(now);
  if (refuse) {
    return once::RefusalReason::kUpstreamUnhealthy;
  }
  const bool busier =
      upstream.gate->in_flight() > request.max_in_flight &&
      upstream.gate->HasStartedSince(now - kMaxTimeWithoutStart);
  return busier ? once::RefusalReason::kBusierThanOthers
                : once::RefusalReason::kNone;
}

int Guard::CountRequestsAtRisk(const GuardedUpstream& upstream) const {
  const auto reserved =
      std::count_if(this->reservations.begin(), this->reservations.end(),
                    [&](const auto& entry) {
                      return entry.second.non_retryable &&
                             entry.second.upstream == upstream.announcement.id;
                    });
  return upstream.failure_detector.CountNonIdempotentSinceSuccess() +
         static_cast<int>(reserved);
}

admission::GateDecision Guard::WaitForSlot(const once::SlotRequest& request,
                                           admission::TicketId ticket) {
  DecisionFuture decided;
  {
    DeferredWakeups wakeups;
    const std::lock_guard lock(this->mutex);
    const auto found = this->upstreams.find(request.upstream);
    if (found == this->upstreams.end()) {
      return admission::RefuseTicket{
          .ticket = ticket,
          .refusal = {.reason = once::RefusalReason::kUpstreamGone}};
    }
    decided = this->waiters.Register(ticket);
    const Instant now = MonotonicNow();
    const admission::GateRequest offered{
        .ticket = ticket,
        .organisation = request.organisation,
        .weight = this->OrganisationWeight(request.organisation),
        .priority = request.priority,
        .internal = request.internal,
        .deadline = now + request.remaining_time,
        .objective = request.objective,
        .max_wait = request.max_wait,
        .work_key = {.service = found->second.announcement.service,
                     .work_class = request.work_class,
                     .body_bytes = request.body_bytes,
                     .objective = request.objective}};
    this->waiters.Dispatch(found->second.gate->Offer(offered, now), wakeups);
  }
  return decided.get();
}

rpc::SlotAnswer Guard::SlotAnswerFor(const std::string& upstream,
                                     const once::NotRun& refusal,
                                     bool granted) const {
  const rpc::RunResult result = this->ResultFor(upstream, refusal);
  return {.granted = granted,
          .refusal = refusal,
          .report = result.report,
          .in_flight = result.in_flight,
          .queued = result.queued};
}

void Guard::ReleaseReservation(const std::string& request_id,
                               DeferredWakeups& wakeups) {
  const auto found = this->reservations.find(request_id);
  if (found == this->reservations.end()) {
    return;
  }
  const auto upstream = this->upstreams.find(found->second.upstream);
  if (upstream != this->upstreams.end()) {
    this->waiters.Dispatch(upstream->second.gate->Finish(
                               found->second.ticket,
                               admission::RunEnd::kCancelled, MonotonicNow()),
                           wakeups);
  }
  this->reservations.erase(found);
}

void Guard::ExpireReservations(Instant now, DeferredWakeups& wakeups) {
  std::vector<std::string> expired_ids;
  for (const auto& [request_id, reservation] : this->reservations) {
    if (reservation.expires_at <= now) {
      expired_ids.push_back(request_id);
    }
  }
  for (const std::string& request_id : expired_ids) {
    this->ReleaseReservation(request_id, wakeups);
  }
}

}  // namespace kingcupstair::guard
