#include "components/guard/guard.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "components/fibers/boundary.h"
#include "components/fibers/worker_pool.h"
#include "components/guard/upstream_call.h"
#include "components/logging/log.h"

namespace kingcupstair::guard {
namespace {

constexpr Duration kEarlierAttemptPollInterval{std::chrono::milliseconds(20)};

}  // namespace

Guard::Guard(Options options,
             const Snapshot<config::Configuration>& configuration,
             SharedCrashLedger& crashes,
             events::Recorder& recorder)
    : options(std::move(options)),
      configuration(configuration),
      crashes(crashes),
      recorder(recorder),
      ledger({.max_retained_bytes = this->options.max_retained_response_bytes}),
      keys({}),
      peer_bodies(this->options.peer_bodies) {}

AcceptAnswer Guard::Accept(const once::RunRequest& request) {
  BodyLease body_lease = this->peer_bodies.Take(request.request_id);
  DeferredWakeups wakeups;
  const std::lock_guard lock(this->mutex);
  once::RefusalReason reason =
      this->ReasonToRefuse(request.upstream, request.incarnation);
  if (reason == once::RefusalReason::kNone &&
      !this->reservations.contains(request.request_id)) {
    reason = once::RefusalReason::kSlotExpired;
  }
  if (reason != once::RefusalReason::kNone) {
    this->ReleaseReservation(request.request_id, wakeups);
    return this->ResultFor(request.upstream, once::NotRun{.reason = reason});
  }
  const Instant now = MonotonicNow();
  if (const Duration refused_for =
          this->crashes.RefusedFor(request.fingerprint, now);
      refused_for > Duration{}) {
    this->ReleaseReservation(request.request_id, wakeups);
    return this->ResultFor(
        request.upstream,
        once::NotRun{.reason = once::RefusalReason::kCrashesUpstreams,
                     .retry_after = refused_for});
  }
  AcceptedRun accepted{.request = request, .body_lease = std::move(body_lease)};
  if (!request.dedupe_key.empty()) {
    const auto earlier = this->keys.Find(request.dedupe_key, now);
    const auto state =
        earlier.has_value() ? this->ledger.Peek(*earlier) : std::nullopt;
    const auto* ended =
        state.has_value() ? std::get_if<once::Outcome>(&*state) : nullptr;
    const bool never_ran =
        ended != nullptr && std::holds_alternative<once::NotRun>(*ended);
    if (state.has_value() && !never_ran) {
      accepted.earlier_attempt = *earlier;
      this->ReleaseReservation(request.request_id, wakeups);
      ++this->in_flight;
      return accepted;
    }
    this->keys.Bind(request.dedupe_key, request.request_id, now);
  }
  if (this->ledger.Accept(request.request_id, now) !=
      once::AcceptResult::kAccepted) {
    this->ReleaseReservation(request.request_id, wakeups);
    return this->ResultFor(
        request.upstream, once::NotRun{.reason = once::RefusalReason::kFenced});
  }
  accepted.ticket = this->reservations.at(request.request_id).ticket;
  this->reservations.erase(request.request_id);
  ++this->in_flight;
  return accepted;
}

once::RefusalReason Guard::ReasonToRefuse(const std::string& upstream,
                                          uint64_t expected_incarnation) const {
  if (expected_incarnation != this->options.incarnation()) {
    return once::RefusalReason::kWrongIncarnation;
  }
  if (this->draining) {
    return once::RefusalReason::kDraining;
  }
  if (this->options.isolated()) {
    return once::RefusalReason::kIsolated;
  }
  const auto found = this->upstreams.find(upstream);
  if (found == this->upstreams.end() || found->second.unreachable ||
      !this->options.departures_known()) {
    return once::RefusalReason::kUpstreamGone;
  }
  if (this->IsWithdrawn(found->second)) {
    return once::RefusalReason::kWithdrawn;
  }
  return found->second.announcement.draining ? once::RefusalReason::kDraining
                                             : once::RefusalReason::kNone;
}

bool Guard::IsWithdrawn(const GuardedUpstream& upstream) const {
  const auto current = this->configuration.Read();
  return current->IsZoneOutOfService(this->options.zone) ||
         current->IsUpstreamOutOfService(upstream.announcement.id);
}

rpc::RunResult Guard::Run(const AcceptedRun& accepted) {
  const once::RunRequest& request = accepted.request;
  if (!accepted.earlier_attempt.empty()) {
    return this->WaitForEarlierAttempt(accepted);
  }
  const Instant deadline = MonotonicNow() + request.remaining_time;
  const RunningCall call{.idempotent = request.idempotent};
  UpstreamTarget target{.header_names = this->options.header_names};
  std::string start;
  {
    DeferredWakeups wakeups;
    const std::lock_guard lock(this->mutex);
    const auto found = this->upstreams.find(request.upstream);
    if (found == this->upstreams.end() ||
        !this->ledger.TryMarkForwarded(request.request_id)) {
      return this->FinishUnsent(accepted, wakeups);
    }
    GuardedUpstream& upstream = found->second;
    upstream.crash_suspects.OnStart(accepted.ticket, request.fingerprint,
                                    MonotonicNow());
    upstream.failure_detector.OnStart({.request = accepted.ticket,
                                       .objective = request.objective,
                                       .non_idempotent = !request.idempotent},
                                      MonotonicNow());
    this->call_attributions[upstream.announcement.service].OnRunStart(
        accepted.ticket,
        {.idempotent = request.idempotent, .objective = request.objective},
        request.repeat_probability);
    this->running_calls[request.request_id] = call;
    target.endpoint = upstream.announcement.endpoint;
    start = upstream.announcement.incarnation;
  }
  UpstreamReply reply = fibers::RunOr(
      "call an upstream",
      [&] { return CallUpstream(target, request, deadline, call); },
      [] {
        return UpstreamReply{.outcome =
                                 once::Unknown{.detail = once::kInternalError}};
      });
  if (reply.notice.has_value()) {
    this->ApplyNotice(request.upstream, start, *reply.notice);
  }
  once::Outcome outcome = std::move(reply.outcome);
  if (this->runs_ended && std::holds_alternative<once::Unknown>(outcome)) {
    outcome = once::Unknown{.detail = "the host of the upstream stopped",
                            .cancelled = true};
  }
  const bool crashed =
      BrokeConnection(outcome) && !AcceptsConnections(target.endpoint);
  rpc::RunResult result =
      this->FinishRun(request, accepted.ticket, outcome, crashed);
  if (ReplyOf(outcome) == RunReply::kNone) {
    this->options.keep_evidence(request.fingerprint);
  }
  return result;
}

void Guard::ApplyNotice(const std::string& id,
                        const std::string& start,
                        const UpstreamNotice& notice) {
  DeferredWakeups wakeups;
  const std::string departure = Departures::StartName(id, start);
  bool departs = false;
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end() ||
        found->second.announcement.incarnation != start) {
      return;
    }
    GuardedUpstream& upstream = found->second;
    const Instant now = MonotonicNow();
    const double before = upstream.gate->Report(now).named_rate;
    upstream.gate->SetNamedRate(notice.rate_limit, now);
    upstream.has_responded = true;
    const double after = upstream.gate->Report(now).named_rate;
    if (before != after) {
      this->RecordUpstreamEvent(
          "upstream_limit", upstream.announcement,
          after == 0 ? "none any more"
                     : absl::StrCat(after, " requests a second"));
    }
    if (notice.leaving && !upstream.announcement.draining) {
      this->Drain(upstream, "upstream_draining", wakeups);
      departs = this->departures.Add(departure, now);
    }
  }
  if (departs) {
    this->options.on_departure(departure);
  }
}

rpc::RunResult Guard::FinishUnsent(const AcceptedRun& accepted,
                                   DeferredWakeups& wakeups) {
  const once::RunRequest& request = accepted.request;
  const once::NotRun refusal{.reason = once::RefusalReason::kFenced};
  const auto found = this->upstreams.find(request.upstream);
  if (found != this->upstreams.end()) {
    this->waiters.Dispatch(
        found->second.gate->Finish(
            accepted.ticket, admission::RunEnd::kCancelled, MonotonicNow()),
        wakeups);
  }
  this->ledger.Finish(request.request_id, refusal, MonotonicNow());
  --this->in_flight;
  return this->ResultFor(request.upstream, refusal);
}

void Guard::Cancel(const std::string& request_id, uint64_t incarnation) {
  if (incarnation != this->options.incarnation()) {
    return;
  }
  this->peer_bodies.Drop(request_id);
  std::optional<RunningCall> cancelled;
  {
    DeferredWakeups wakeups;
    const std::lock_guard lock(this->mutex);
    this->ReleaseReservation(request_id, wakeups);
    this->ledger.Resolve(request_id, MonotonicNow());
    const auto found = this->running_calls.find(request_id);
    if (found != this->running_calls.end()) {
      cancelled = found->second;
    }
  }
  if (!cancelled.has_value()) {
    return;
  }
  cancelled->cancellation_before_sending->Cancel();
  if (cancelled->idempotent) {
    cancelled->cancellation->Cancel();
  }
}

rpc::RunResult Guard::WaitForEarlierAttempt(const AcceptedRun& accepted) {
  const Instant deadline = MonotonicNow() + accepted.request.remaining_time;
  once::Outcome outcome =
      once::Unknown{.detail = "an earlier request with this key still runs"};
  while (MonotonicNow() < deadline) {
    {
      const std::lock_guard lock(this->mutex);
      const auto state = this->ledger.Peek(accepted.earlier_attempt);
      const auto* ended =
          state.has_value() ? std::get_if<once::Outcome>(&*state) : nullptr;
      if (ended != nullptr) {
        outcome = *ended;
        break;
      }
    }
    fibers::SleepFor(kEarlierAttemptPollInterval);
  }
  --this->in_flight;
  const std::lock_guard lock(this->mutex);
  return this->ResultFor(accepted.request.upstream, outcome);
}

// Organisations share the slots of an upstream in proportion to their rate
// limits.
double Guard::OrganisationWeight(const std::string& organisation) const {
  const auto current = this->configuration.Read();
  const auto* rule = current->FindOrganisation(organisation);
  return rule == nullptr || rule->rate <= 0 ? 1 : rule->rate;
}

rpc::RunResult Guard::FinishRun(const once::RunRequest& request,
                                admission::TicketId ticket,
                                const once::Outcome& outcome,
                                bool crashed) {
  DeferredWakeups wakeups;
  const std::lock_guard lock(this->mutex);
  const Instant now = MonotonicNow();
  this->ledger.Finish(request.request_id, outcome, now);
  this->running_calls.erase(request.request_id);
  for (auto& [service, attribution] : this->call_attributions) {
    attribution.OnRunEnd(ticket);
  }
  --this->in_flight;
  const auto found = this->upstreams.find(request.upstream);
  if (found == this->upstreams.end()) {
    return this->ResultFor(request.upstream, outcome);
  }
  GuardedUpstream& upstream = found->second;
  upstream.crash_suspects.OnEnd(ticket, ReplyOf(outcome), now);
  upstream.failure_detector.OnEnd(ticket, DetectorResultOf(outcome), now);
  RecordShed(upstream, outcome);
  this->LogRun(request, outcome, upstream.gate->in_flight());
  this->recorder.counters().Add(
      "kingcupstair_upstream_runs_total",
      {{.name = "upstream", .value = request.upstream},
       {.name = "result", .value = once::ResultOf(outcome)}});
  if (ProvesHarmless(outcome) &&
      this->crashes.Clear(request.fingerprint, now)) {
    this->RecordUpstreamEvent(
        "crash_evidence_cleared", upstream.announcement,
        absl::StrCat("request ", request.request_id, ", fingerprint ",
                     request.fingerprint));
  }
  if (BrokeConnection(outcome)) {
    this->RecordUpstreamEvent("upstream_broke_connection",
                              upstream.announcement,
                              absl::StrCat("request ", request.request_id));
  }
  const auto* not_run = std::get_if<once::NotRun>(&outcome);
  const bool unreachable =
      not_run != nullptr &&
      not_run->reason == once::RefusalReason::kConnectFailed;
  if (crashed || unreachable) {
    this->MarkUnreachable(upstream);
  }
  upstream.gate->SetSuspected(upstream.failure_detector.IsSuspected(now));
  this->waiters.Dispatch(upstream.gate->Finish(ticket, RunEndOf(outcome), now),
                         wakeups);
  return this->ResultFor(request.upstream, outcome);
}

void Guard::LogRun(const once::RunRequest& request,
                   const once::Outcome& outcome,
                   int in_flight) {
  const auto* ran = std::get_if<once::Ran>(&outcome);
  const auto* refusal = std::get_if<once::NotRun>(&outcome);
  const std::string result =
      ran != nullptr       ? absl::StrCat("status ", ran->response.status)
      : refusal != nullptr ? once::ToText(refusal->reason)
                           : std::get<once::Unknown>(outcome).detail;
  logging::Write(
      logging::Level::kInfo, "a run ended",
      {{.name = "attempt", .value = request.request_id},
       {.name = "upstream", .value = request.upstream},
       {.name = "fingerprint", .value = absl::StrCat(request.fingerprint)},
       {.name = "in_flight", .value = absl::StrCat(in_flight)},
       {.name = "outcome", .value = once::ResultOf(outcome)},
       {.name = "result", .value = result}});
}

void Guard::MarkUnreachable(GuardedUpstream& upstream) {
  if (!upstream.unreachable) {
    this->RecordUpstreamEvent("upstream_unreachable", upstream.announcement,
                              "");
  }
  upstream.unreachable = true;
  this->AddCrashEvidence(upstream.announcement,
                         upstream.crash_suspects.TakeEnded(MonotonicNow()));
}

// A missing response alone is no evidence of a crash. It becomes evidence when
// the upstream then refuses connections, restarts with another incarnation, is
// replaced by another upstream at its endpoint, or announces itself no more.
void Guard::AddCrashEvidence(const Announcement& announcement,
                             const std::vector<CrashSuspect>& suspects) {
  const Instant now = MonotonicNow();
  for (const CrashSuspect& suspect : suspects) {
    const bool is_new_evidence =
        this->crashes.AddOwn({.fingerprint = suspect.fingerprint,
                              .upstream = Departures::StartName(
                                  announcement.id, announcement.incarnation)},
                             now - suspect.at, now);
    if (is_new_evidence) {
      this->RecordUpstreamEvent(
          "upstream_crashed", announcement,
          absl::StrCat("while running ", suspect.fingerprint));
    }
  }
}

rpc::ResolveAnswer Guard::Resolve(const std::string& request_id,
                                  uint64_t incarnation) {
  if (incarnation != this->options.incarnation()) {
    return rpc::OtherIncarnation{};
  }
  const std::lock_guard lock(this->mutex);
  return this->ledger.Resolve(request_id, MonotonicNow());
}

void Guard::Tick() {
  DeferredWakeups wakeups;
  const std::lock_guard lock(this->mutex);
  const Instant now = MonotonicNow();
  this->peer_bodies.Expire(now);
  this->ledger.Expire(now);
  this->ExpireReservations(now, wakeups);
  this->departures.Expire(now);
  const bool refuse_all = this->draining || this->options.isolated();
  for (auto at = this->upstreams.begin(); at != this->upstreams.end();) {
    GuardedUpstream& upstream = at->second;
    upstream.gate->SetWarmUpRate(
        this->WarmUpRate(upstream.announcement.service));
    this->waiters.Dispatch(upstream.gate->Tick(now), wakeups);
    if (refuse_all || this->IsWithdrawn(upstream)) {
      this->waiters.Dispatch(
          upstream.gate->RefuseQueued(once::RefusalReason::kWithdrawn),
          wakeups);
    }
    const bool announcement_expired =
        now - upstream.last_seen > this->options.announcement_lifetime;
    if (announcement_expired && upstream.gate->in_flight() == 0) {
      this->waiters.Dispatch(
          upstream.gate->RefuseQueued(once::RefusalReason::kUpstreamGone),
          wakeups);
      if (!upstream.announcement.draining) {
        this->AddCrashEvidence(upstream.announcement,
                               upstream.crash_suspects.TakeAll(now));
      }
      this->RecordUpstreamEvent("upstream_gone", upstream.announcement, "");
      at = this->upstreams.erase(at);
    } else {
      ++at;
    }
  }
}

void Guard::BeginDrain() {
  this->draining = true;
  this->Tick();
}

void Guard::EndRuns() {
  this->runs_ended = true;
  std::vector<CancellationPtr> calls;
  {
    const std::lock_guard lock(this->mutex);
    for (const auto& [id, call] : this->running_calls) {
      calls.push_back(call.cancellation);
    }
  }
  for (const CancellationPtr& call : calls) {
    call->Cancel();
  }
}

std::vector<membership::UpstreamRecord> Guard::Upstreams() const {
  const std::lock_guard lock(this->mutex);
  const Instant now = MonotonicNow();
  std::vector<membership::UpstreamRecord> records;
  if (!this->options.departures_known()) {
    return records;
  }
  for (const auto& [id, upstream] : this->upstreams) {
    if (!upstream.announcement.draining && !upstream.unreachable) {
      records.push_back(LoadReportOf(upstream, now));
    }
  }
  return records;
}

double Guard::AttributeCall(const std::string& service) {
  const std::lock_guard lock(this->mutex);
  return this->call_attributions[service].OnCall();
}

rpc::RunResult Guard::ResultFor(const std::string& id,
                                const once::Outcome& outcome) const {
  rpc::RunResult result{.outcome = outcome};
  const auto found = this->upstreams.find(id);
  if (found != this->upstreams.end()) {
    const Instant now = MonotonicNow();
    const auto report = found->second.gate->Report(now);
    result.report = LoadReportOf(found->second, now);
    result.in_flight = report.in_flight;
    result.queued = report.queued;
  }
  return result;
}

void Guard::RecordUpstreamEvent(const char* kind,
                                const Announcement& announcement,
                                const std::string& detail) {
  this->recorder.Record({.kind = kind,
                         .upstream = announcement.id,
                         .zone = this->options.zone,
                         .detail = detail});
}

}  // namespace kingcupstair::guard
