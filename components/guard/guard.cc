#include "components/guard/guard.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "components/fibers/worker_pool.h"
#include "components/guard/upstream_call.h"

namespace kingcupstair::guard {
namespace {

constexpr Duration kEarlierPollInterval{std::chrono::milliseconds(20)};
constexpr int kDefaultSlots = 4;

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

void Guard::AddUpstream(const Announcement& announcement) {
  const auto current = this->configuration.Read();
  const auto* service = current->FindService(announcement.service);
  const int configured = service == nullptr ? kDefaultSlots : service->slots;
  const int slots = announcement.slots > 0
                        ? std::min(announcement.slots, configured)
                        : configured;
  GuardedUpstream& upstream = this->upstreams[announcement.id];
  upstream.announcement = announcement;
  upstream.gate = std::make_unique<admission::UpstreamGate>(
      admission::UpstreamGate::Options{.slots = slots});
  upstream.last_seen = MonotonicNow();
  this->RecordUpstream("upstream_started", announcement, "");
}

AcceptAnswer Guard::Accept(const once::RunRequest& request) {
  const std::lock_guard lock(this->mutex);
  const once::RefusalReason reason = this->ReasonToRefuse(request);
  if (reason != once::RefusalReason::kNone) {
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
      ++this->in_flight;
      return accepted;
    }
    this->keys.Bind(request.dedupe_key, request.request_id, now);
  }
  if (this->ledger.Accept(request.request_id, now) !=
      once::AcceptResult::kAccepted) {
    return this->ResultFor(
        request.upstream, once::NotRun{.reason = once::RefusalReason::kFenced});
  }
  ++this->in_flight;
  return accepted;
}

once::RefusalReason Guard::ReasonToRefuse(
    const once::RunRequest& request) const {
  if (request.incarnation != this->options.incarnation()) {
    return once::RefusalReason::kWrongIncarnation;
  }
  if (this->draining) {
    return once::RefusalReason::kDraining;
  }
  if (this->options.isolated()) {
    return once::RefusalReason::kIsolated;
  }
  const auto found = this->upstreams.find(request.upstream);
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
  admission::TicketId ticket = 0;
  {
    const std::lock_guard lock(this->mutex);
    ticket = ++this->last_ticket;
  }
  const auto decision = this->WaitForSlot(request, ticket, deadline);
  if (const auto* refused = std::get_if<admission::RefuseTicket>(&decision)) {
    return this->Refused(request, refused->refusal);
  }
  Endpoint endpoint;
  {
    Wakes wakes;
    const std::lock_guard lock(this->mutex);
    GuardedUpstream& upstream = this->upstreams.at(request.upstream);
    if (!this->ledger.BeginForward(request.request_id)) {
      this->waiters.Dispatch(
          upstream.gate->Finish(ticket, admission::RunEnd::kCancelled,
                                MonotonicNow()),
          wakes);
      --this->in_flight;
      return this->ResultFor(
          request.upstream,
          once::NotRun{.reason = once::RefusalReason::kFenced});
    }
    upstream.running[ticket] = request.fingerprint;
    endpoint = upstream.announcement.endpoint;
  }
  const once::Outcome outcome = CallUpstream(endpoint, request, deadline);
  const bool crashed = BrokeConnection(outcome) && !Listens(endpoint);
  return this->EndRun(request, ticket, outcome, crashed);
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

rpc::RunResult Guard::Refused(const once::RunRequest& request,
                              const once::NotRun& refusal) {
  const std::lock_guard lock(this->mutex);
  this->ledger.Finish(request.request_id, refusal, MonotonicNow());
  --this->in_flight;
  return this->ResultFor(request.upstream, refusal);
}

admission::GateDecision Guard::WaitForSlot(const once::RunRequest& request,
                                           admission::TicketId ticket,
                                           Instant deadline) {
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
    const admission::GateRequest offered{
        .ticket = ticket,
        .organisation = request.organisation,
        .weight = this->WeightOf(request.organisation),
        .deadline = deadline};
    this->waiters.Dispatch(found->second.gate->Offer(offered, MonotonicNow()),
                           wakes);
  }
  return decided.get();
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
  --this->in_flight;
  const auto found = this->upstreams.find(request.upstream);
  if (found == this->upstreams.end()) {
    return this->ResultFor(request.upstream, outcome);
  }
  GuardedUpstream& upstream = found->second;
  upstream.running.erase(ticket);
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
  if (crashed || std::holds_alternative<once::NotRun>(outcome)) {
    this->MarkUnreachable(upstream);
  }
  this->waiters.Dispatch(upstream.gate->Finish(ticket, EndOf(outcome), now),
                         wakes);
  return this->ResultFor(request.upstream, outcome);
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
