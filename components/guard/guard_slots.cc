#include "components/guard/guard.h"

#include <algorithm>

namespace kingcupstair::guard {
namespace {

/// How long a slot is held for the request that follows: several round trips
/// between zones on a slow host.
constexpr Duration kReservationLife{std::chrono::milliseconds(800)};
/// Requests that may run only once, out at an upstream since its last good
/// answer. A sound upstream that is busy answers every 150 ms or so, in which
/// about one of them comes; a hanging one takes all that this allows with it.
constexpr int kMostOnceOnly = 2;

}  // namespace

rpc::SlotAnswer Guard::Reserve(const once::SlotRequest& request) {
  admission::TicketId ticket = 0;
  {
    const std::lock_guard lock(this->mutex);
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
      .careful = request.careful,
      .lapses = MonotonicNow() + kReservationLife};
  return this->SlotAnswerFor(request.upstream, {}, true);
}

// Requests that can still go elsewhere later are the trial of an upstream that
// may be hanging, and once it looks unwell they go there one at a time.
once::RefusalReason Guard::ReasonToRefuseSlot(const once::SlotRequest& request,
                                              Instant now) const {
  const auto reason =
      this->ReasonToRefuse(request.upstream, request.incarnation);
  if (reason != once::RefusalReason::kNone || request.last_resort) {
    return reason;
  }
  const GuardedUpstream& upstream = this->upstreams.at(request.upstream);
  if (!upstream.announcement.tells_warm_up) {
    return once::RefusalReason::kNone;
  }
  const bool looks_unwell = upstream.judge.LooksUnwell(now);
  const bool keep_away =
      request.careful ? looks_unwell || upstream.judge.IsInDoubt(now) ||
                            this->OnceOnlySinceGood(upstream) >= kMostOnceOnly
                      : looks_unwell && upstream.judge.HasUndecided(now);
  if (keep_away) {
    return once::RefusalReason::kLooksUnwell;
  }
  return upstream.gate->in_flight() > request.most_in_flight
             ? once::RefusalReason::kBusierThanOthers
             : once::RefusalReason::kNone;
}

int Guard::OnceOnlySinceGood(const GuardedUpstream& upstream) const {
  const auto reserved =
      std::count_if(this->reservations.begin(), this->reservations.end(),
                    [&](const auto& entry) {
                      return entry.second.careful &&
                             entry.second.upstream == upstream.announcement.id;
                    });
  return upstream.judge.OnceOnlySinceGood() + static_cast<int>(reserved);
}

admission::GateDecision Guard::WaitForSlot(const once::SlotRequest& request,
                                           admission::TicketId ticket) {
  DecisionFuture decided;
  {
    Wakes wakes;
    const std::lock_guard lock(this->mutex);
    const auto found = this->upstreams.find(request.upstream);
    if (found == this->upstreams.end()) {
      return admission::RefuseTicket{
          .ticket = ticket,
          .refusal = {.reason = once::RefusalReason::kUpstreamGone}};
    }
    decided = this->waiters.Expect(ticket);
    const Instant now = MonotonicNow();
    const admission::GateRequest offered{
        .ticket = ticket,
        .organisation = request.organisation,
        .weight = this->WeightOf(request.organisation),
        .priority = request.priority,
        .internal = request.internal,
        .deadline = now + request.time_left,
        .objective = request.objective,
        .max_wait = request.max_wait};
    this->waiters.Dispatch(found->second.gate->Offer(offered, now), wakes);
  }
  return decided.get();
}

rpc::SlotAnswer Guard::SlotAnswerFor(const std::string& upstream,
                                     const once::NotRun& refusal,
                                     bool granted) const {
  const rpc::RunResult standing = this->ResultFor(upstream, refusal);
  return {.granted = granted,
          .refusal = refusal,
          .report = standing.report,
          .in_flight = standing.in_flight,
          .queued = standing.queued};
}

void Guard::ReleaseReservation(const std::string& request_id, Wakes& wakes) {
  const auto found = this->reservations.find(request_id);
  if (found == this->reservations.end()) {
    return;
  }
  const auto upstream = this->upstreams.find(found->second.upstream);
  if (upstream != this->upstreams.end()) {
    this->waiters.Dispatch(upstream->second.gate->Finish(
                               found->second.ticket,
                               admission::RunEnd::kCancelled, MonotonicNow()),
                           wakes);
  }
  this->reservations.erase(found);
}

void Guard::LapseReservations(Instant now, Wakes& wakes) {
  std::vector<std::string> lapsed;
  for (const auto& [request_id, reservation] : this->reservations) {
    if (reservation.lapses <= now) {
      lapsed.push_back(request_id);
    }
  }
  for (const std::string& request_id : lapsed) {
    this->ReleaseReservation(request_id, wakes);
  }
}

}  // namespace kingcupstair::guard
