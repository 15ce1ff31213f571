#include "components/guard/guard.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "components/fibers/worker_pool.h"
#include "components/guard/upstream_call.h"
#include "components/logging/log.h"

namespace kingcupstair::guard {
namespace {

constexpr Duration kEarlierPollInterval{std::chrono::milliseconds(20)};
constexpr int kDefaultSlots = 4;
/// How long a slot is held for the request that follows: several round trips
/// between zones on a slow host.
constexpr Duration kReservationLife{std::chrono::milliseconds(800)};
/// Longer than an announcement can be under way.
constexpr Duration kWithdrawnMemory{std::chrono::seconds(60)};

}  // namespace

Guard::Guard(Options options,
             const Snapshot<config::Configuration>& configuration,
             CrashWatch& crashes,
             events::Recorder& recorder)
    : options(std::move(options)),
      configuration(configuration),
      crashes(crashes),
      recorder(recorder),
      ledger({}),
      keys({}) {}

void Guard::Announce(const Announcement& announcement) {
  Wakes wakes;
  const std::lock_guard lock(this->mutex);
  if (this->IsStale(announcement)) {
    return;
  }
  this->ForgetPredecessors(announcement, wakes);
  const auto found = this->upstreams.find(announcement.id);
  if (found == this->upstreams.end()) {
    this->AddUpstream(announcement);
    return;
  }
  GuardedUpstream& upstream = found->second;
  const Announcement before =
      std::exchange(upstream.announcement, announcement);
  upstream.last_seen = MonotonicNow();
  upstream.unreachable = false;
  if (before.incarnation != announcement.incarnation) {
    upstream.gate->Restart();
    upstream.judge.Restart();
    this->RecordUpstream("upstream_restarted", announcement, "");
    this->BlameBroken(upstream);
    upstream.broken.clear();
  }
  if (announcement.draining && !before.draining) {
    this->RecordUpstream("upstream_draining", announcement, "");
    this->waiters.Dispatch(
        upstream.gate->RefuseWaiting(once::RefusalReason::kDraining), wakes);
  }
}

// An announcement may have been held up on its way until after its sender has
// left, crashed, or been followed by another at the same endpoint.
bool Guard::IsStale(const Announcement& announcement) const {
  if (this->withdrawn.contains(announcement.id + announcement.incarnation)) {
    return true;
  }
  for (const auto& [id, upstream] : this->upstreams) {
    const Announcement& known = upstream.announcement;
    if (known.endpoint != announcement.endpoint) {
      continue;
    }
    if (known.started_at > announcement.started_at) {
      return true;
    }
    const bool same_start =
        id == announcement.id && known.incarnation == announcement.incarnation;
    if (same_start && announcement.sequence > 0 &&
        announcement.sequence <= known.sequence) {
      return true;
    }
  }
  return false;
}

// Whoever is announced at an endpoint now, nobody else is there any more.
void Guard::ForgetPredecessors(const Announcement& announcement, Wakes& wakes) {
  for (auto at = this->upstreams.begin(); at != this->upstreams.end();) {
    GuardedUpstream& upstream = at->second;
    if (at->first == announcement.id ||
        upstream.announcement.endpoint != announcement.endpoint) {
      ++at;
      continue;
    }
    this->BlameBroken(upstream);
    this->waiters.Dispatch(
        upstream.gate->RefuseWaiting(once::RefusalReason::kUpstreamGone),
        wakes);
    this->RecordUpstream("upstream_gone", upstream.announcement,
                         "another is at its endpoint");
    at = this->upstreams.erase(at);
  }
}

void Guard::Withdraw(const std::string& id) {
  Wakes wakes;
  const std::lock_guard lock(this->mutex);
  const auto found = this->upstreams.find(id);
  if (found == this->upstreams.end()) {
    return;
  }
  GuardedUpstream& upstream = found->second;
  this->withdrawn[id + upstream.announcement.incarnation] = MonotonicNow();
  upstream.announcement.draining = true;
  this->RecordUpstream("upstream_left", upstream.announcement, "");
  this->waiters.Dispatch(
      upstream.gate->RefuseWaiting(once::RefusalReason::kDraining), wakes);
}

void Guard::AddUpstream(const Announcement& announcement) {
  const auto current = this->configuration.Read();
  const auto* service = current->FindService(announcement.service);
  const int configured = service == nullptr ? kDefaultSlots : service->slots;
  const bool bounded = service != nullptr && !announcement.tells_warm_up;
  const int slots = announcement.slots <= 0 ? configured
                    : bounded ? std::min(announcement.slots, configured)
                              : announcement.slots;
  GuardedUpstream& upstream = this->upstreams[announcement.id];
  upstream.announcement = announcement;
  const admission::WarmUp warm_up =
      announcement.tells_warm_up
          ? admission::WarmUp(admission::WarmUpByRate{
                .rate = service == nullptr ? 0 : service->warmup_rate})
          : admission::WarmUp(admission::WarmUpByAnswers{});
  upstream.gate = std::make_unique<admission::UpstreamGate>(
      admission::UpstreamGate::Options{.slots = slots, .warm_up = warm_up});
  upstream.last_seen = MonotonicNow();
  this->RecordUpstream("upstream_started", announcement, "");
}

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
  const bool keep_away = request.careful
                             ? looks_unwell || upstream.judge.IsInDoubt(now)
                             : looks_unwell && upstream.judge.HasUndecided(now);
  if (keep_away) {
    return once::RefusalReason::kLooksUnwell;
  }
  return upstream.gate->in_flight() > request.most_in_flight
             ? once::RefusalReason::kBusierThanOthers
             : once::RefusalReason::kNone;
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

AcceptAnswer Guard::Accept(const once::RunRequest& request) {
  Wakes wakes;
  const std::lock_guard lock(this->mutex);
  once::RefusalReason reason =
      this->ReasonToRefuse(request.upstream, request.incarnation);
  if (reason == once::RefusalReason::kNone &&
      !this->reservations.contains(request.request_id)) {
    reason = once::RefusalReason::kSlotLapsed;
  }
  if (reason != once::RefusalReason::kNone) {
    this->ReleaseReservation(request.request_id, wakes);
    return this->ResultFor(request.upstream, once::NotRun{.reason = reason});
  }
  const Instant now = MonotonicNow();
  AcceptedRun accepted{.request = request};
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
      this->ReleaseReservation(request.request_id, wakes);
      ++this->in_flight;
      return accepted;
    }
    this->keys.Bind(request.dedupe_key, request.request_id, now);
  }
  if (this->ledger.Accept(request.request_id, now) !=
      once::AcceptResult::kAccepted) {
    this->ReleaseReservation(request.request_id, wakes);
    return this->ResultFor(
        request.upstream, once::NotRun{.reason = once::RefusalReason::kFenced});
  }
  accepted.ticket = this->reservations.at(request.request_id).ticket;
  this->reservations.erase(request.request_id);
  ++this->in_flight;
  return accepted;
}

once::RefusalReason Guard::ReasonToRefuse(const std::string& upstream,
                                          uint64_t asked_incarnation) const {
  if (asked_incarnation != this->options.incarnation()) {
    return once::RefusalReason::kWrongIncarnation;
  }
  if (this->draining) {
    return once::RefusalReason::kDraining;
  }
  if (this->options.isolated()) {
    return once::RefusalReason::kIsolated;
  }
  const auto found = this->upstreams.find(upstream);
  if (found == this->upstreams.end() || found->second.unreachable) {
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
  return current->IsZoneOut(this->options.zone) ||
         current->IsUpstreamOut(upstream.announcement.id);
}

rpc::RunResult Guard::Run(const AcceptedRun& accepted) {
  const once::RunRequest& request = accepted.request;
  if (!accepted.earlier_attempt.empty()) {
    return this->WaitForEarlier(accepted);
  }
  const Instant deadline = MonotonicNow() + request.time_left;
  const auto cancellation = std::make_shared<Cancellation>();
  UpstreamTarget target{.dialect = this->options.dialect};
  {
    Wakes wakes;
    const std::lock_guard lock(this->mutex);
    const auto found = this->upstreams.find(request.upstream);
    if (found == this->upstreams.end() ||
        !this->ledger.BeginForward(request.request_id)) {
      return this->EndUnsent(accepted, wakes);
    }
    GuardedUpstream& upstream = found->second;
    upstream.running[accepted.ticket] = request.fingerprint;
    upstream.judge.OnStart(accepted.ticket, request.objective, MonotonicNow());
    if (request.idempotent) {
      this->cancellable[request.request_id] = cancellation;
    }
    target.endpoint = upstream.announcement.endpoint;
  }
  const once::Outcome outcome =
      CallUpstream(target, request, deadline, cancellation);
  const bool crashed = BrokeConnection(outcome) && !Listens(target.endpoint);
  return this->EndRun(request, accepted.ticket, outcome, crashed);
}

rpc::RunResult Guard::EndUnsent(const AcceptedRun& accepted, Wakes& wakes) {
  const once::RunRequest& request = accepted.request;
  const once::NotRun refusal{.reason = once::RefusalReason::kFenced};
  const auto found = this->upstreams.find(request.upstream);
  if (found != this->upstreams.end()) {
    this->waiters.Dispatch(
        found->second.gate->Finish(
            accepted.ticket, admission::RunEnd::kCancelled, MonotonicNow()),
        wakes);
  }
  this->ledger.Finish(request.request_id, refusal, MonotonicNow());
  --this->in_flight;
  return this->ResultFor(request.upstream, refusal);
}

void Guard::Cancel(const std::string& request_id, uint64_t incarnation) {
  if (incarnation != this->options.incarnation()) {
    return;
  }
  CancellationPtr cancelled;
  {
    Wakes wakes;
    const std::lock_guard lock(this->mutex);
    this->ReleaseReservation(request_id, wakes);
    this->ledger.Resolve(request_id, MonotonicNow());
    const auto found = this->cancellable.find(request_id);
    if (found != this->cancellable.end()) {
      cancelled = found->second;
    }
  }
  if (cancelled != nullptr) {
    cancelled->Cancel();
  }
}

rpc::RunResult Guard::WaitForEarlier(const AcceptedRun& accepted) {
  const Instant deadline = MonotonicNow() + accepted.request.time_left;
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
    fibers::SleepFor(kEarlierPollInterval);
  }
  --this->in_flight;
  const std::lock_guard lock(this->mutex);
  return this->ResultFor(accepted.request.upstream, outcome);
}

// Organisations share the slots of an upstream in proportion to their rates.
double Guard::WeightOf(const std::string& organisation) const {
  const auto current = this->configuration.Read();
  const auto* rule = current->FindOrganisation(organisation);
  return rule == nullptr || rule->rate <= 0 ? 1 : rule->rate;
}

rpc::RunResult Guard::EndRun(const once::RunRequest& request,
                             admission::TicketId ticket,
                             const once::Outcome& outcome,
                             bool crashed) {
  Wakes wakes;
  const std::lock_guard lock(this->mutex);
  const Instant now = MonotonicNow();
  this->ledger.Finish(request.request_id, outcome, now);
  this->cancellable.erase(request.request_id);
  --this->in_flight;
  const auto found = this->upstreams.find(request.upstream);
  if (found == this->upstreams.end()) {
    return this->ResultFor(request.upstream, outcome);
  }
  GuardedUpstream& upstream = found->second;
  upstream.running.erase(ticket);
  upstream.judge.OnEnd(ticket, VerdictOf(outcome), now);
  this->LogRun(request, outcome, upstream.gate->in_flight());
  this->recorder.counters().Add(
      "kingcupstair_upstream_runs_total",
      {{.name = "upstream", .value = request.upstream},
       {.name = "result", .value = once::ResultOf(outcome)}});
  if (std::holds_alternative<once::Ran>(outcome)) {
    this->crashes.Clear(request.fingerprint, now);
  }
  if (BrokeConnection(outcome)) {
    this->NoteBreak(upstream, request);
  }
  const auto* not_run = std::get_if<once::NotRun>(&outcome);
  const bool unreachable =
      not_run != nullptr &&
      not_run->reason == once::RefusalReason::kConnectFailed;
  if (crashed || unreachable) {
    this->MarkUnreachable(upstream);
  }
  this->waiters.Dispatch(upstream.gate->Finish(ticket, EndOf(outcome), now),
                         wakes);
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
  logging::Write(logging::Level::kInfo, "a run ended",
                 {{.name = "attempt", .value = request.request_id},
                  {.name = "upstream", .value = request.upstream},
                  {.name = "in_flight", .value = absl::StrCat(in_flight)},
                  {.name = "outcome", .value = once::ResultOf(outcome)},
                  {.name = "result", .value = result}});
}

void Guard::MarkUnreachable(GuardedUpstream& upstream) {
  if (!upstream.unreachable) {
    this->RecordUpstream("upstream_unreachable", upstream.announcement, "");
  }
  upstream.unreachable = true;
  this->BlameBroken(upstream);
}

void Guard::NoteBreak(GuardedUpstream& upstream,
                      const once::RunRequest& request) {
  upstream.broken.push_back(request.fingerprint);
  this->RecordUpstream("upstream_broke_connection", upstream.announcement,
                       absl::StrCat("request ", request.request_id));
}

// A broken connection alone is no crash: only when the upstream then refuses
// connections or comes back as another life are the requests that were running
// held against it.
void Guard::BlameBroken(GuardedUpstream& upstream) {
  for (const once::Fingerprint fingerprint : upstream.broken) {
    const bool news = this->crashes.Add(
        {.fingerprint = fingerprint, .upstream = upstream.announcement.id}, {},
        MonotonicNow());
    if (news) {
      this->RecordUpstream("upstream_crashed", upstream.announcement,
                           absl::StrCat("while running ", fingerprint));
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
  Wakes wakes;
  const std::lock_guard lock(this->mutex);
  const Instant now = MonotonicNow();
  this->ledger.Expire(now);
  this->LapseReservations(now, wakes);
  std::erase_if(this->withdrawn, [&](const auto& entry) {
    return now - entry.second > kWithdrawnMemory;
  });
  const bool refuse_all = this->draining || this->options.isolated();
  for (auto at = this->upstreams.begin(); at != this->upstreams.end();) {
    GuardedUpstream& upstream = at->second;
    this->waiters.Dispatch(upstream.gate->Tick(now), wakes);
    if (refuse_all || this->IsWithdrawn(upstream)) {
      this->waiters.Dispatch(
          upstream.gate->RefuseWaiting(once::RefusalReason::kWithdrawn), wakes);
    }
    const bool silent =
        now - upstream.last_seen > this->options.announcement_life;
    if (silent && upstream.gate->in_flight() == 0) {
      this->waiters.Dispatch(
          upstream.gate->RefuseWaiting(once::RefusalReason::kUpstreamGone),
          wakes);
      this->RecordUpstream("upstream_gone", upstream.announcement, "");
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

std::vector<membership::UpstreamRecord> Guard::Upstreams() const {
  const std::lock_guard lock(this->mutex);
  const Instant now = MonotonicNow();
  std::vector<membership::UpstreamRecord> records;
  for (const auto& [id, upstream] : this->upstreams) {
    if (!upstream.announcement.draining && !upstream.unreachable) {
      records.push_back(RecordOf(upstream, now));
    }
  }
  return records;
}

rpc::RunResult Guard::ResultFor(const std::string& id,
                                const once::Outcome& outcome) const {
  rpc::RunResult result{.outcome = outcome};
  const auto found = this->upstreams.find(id);
  if (found != this->upstreams.end()) {
    const Instant now = MonotonicNow();
    const auto report = found->second.gate->Report(now);
    result.report = RecordOf(found->second, now);
    result.in_flight = report.in_flight;
    result.queued = report.queued;
  }
  return result;
}

void Guard::RecordUpstream(const char* kind,
                           const Announcement& announcement,
                           const std::string& detail) {
  this->recorder.Record({.kind = kind,
                         .upstream = announcement.id,
                         .zone = this->options.zone,
                         .detail = detail});
}

}  // namespace kingcupstair::guard
