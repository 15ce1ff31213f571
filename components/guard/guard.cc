#include "components/guard/guard.h"

#include <utility>

#include <boost/fiber/future.hpp>

#include "absl/strings/str_cat.h"
#include "components/fibers/worker_pool.h"
#include "components/http/client.h"

namespace kingcupstair::guard {
namespace {

constexpr Duration kEarlierPollInterval{std::chrono::milliseconds(20)};
constexpr int kFirstServerError = 500;
constexpr int kDefaultSlots = 4;
constexpr int kListenChecks = 2;
constexpr Duration kListenTimeout{std::chrono::milliseconds(100)};
constexpr Duration kListenPause{std::chrono::milliseconds(20)};
constexpr char kHealthTarget[] = "/health";

admission::RunEnd EndOf(const once::Outcome& outcome) {
  if (const auto* ran = std::get_if<once::Ran>(&outcome)) {
    return ran->response.status < kFirstServerError
               ? admission::RunEnd::kSuccess
               : admission::RunEnd::kFailure;
  }
  const auto* unknown = std::get_if<once::Unknown>(&outcome);
  const bool timed_out = unknown != nullptr && !unknown->upstream_broke;
  return timed_out ? admission::RunEnd::kTimeout : admission::RunEnd::kFailure;
}

bool BrokeConnection(const once::Outcome& outcome) {
  const auto* unknown = std::get_if<once::Unknown>(&outcome);
  return unknown != nullptr && unknown->upstream_broke;
}

/// Whether anybody takes connections at `endpoint`. A process that is ending
/// may close its port a moment after its connections.
bool Listens(const Endpoint& endpoint) {
  for (int i = 0; i < kListenChecks; ++i) {
    const http::Result result =
        http::Exchange({.server = endpoint,
                        .request = {.method = "GET", .target = kHealthTarget},
                        .timeout = kListenTimeout,
                        .reuse_connection = false});
    if (!result.ok() && result.failure.stage == http::Stage::kConnect) {
      return false;
    }
    fibers::SleepFor(kListenPause);
  }
  return true;
}

}  // namespace

struct Guard::Waiter {
  boost::fibers::promise<admission::GateDecision> decision;
};

/// Fibers to wake once the lock is free: waking may suspend the caller, and a
/// fiber that is suspended must not hold the lock. Stands before the lock.
class Guard::Wakes {
 public:
  Wakes() = default;
  Wakes(const Wakes&) = delete;
  Wakes& operator=(const Wakes&) = delete;

  ~Wakes() {
    for (auto& [waiter, decision] : this->pending) {
      waiter->decision.set_value(decision);
    }
  }

  void Add(std::shared_ptr<Waiter> waiter,
           const admission::GateDecision& decision) {
    this->pending.emplace_back(std::move(waiter), decision);
  }

 private:
  std::vector<std::pair<std::shared_ptr<Waiter>, admission::GateDecision>>
      pending;
};

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
  Upstream& upstream = found->second;
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
    this->Dispatch(upstream.gate->RefuseWaiting(once::RefusalReason::kDraining),
                   wakes);
  }
}

void Guard::AddUpstream(const Announcement& announcement) {
  const auto current = this->configuration.Read();
  const auto* service = current->FindService(announcement.service);
  const int configured = service == nullptr ? kDefaultSlots : service->slots;
  const int slots = announcement.slots > 0
                        ? std::min(announcement.slots, configured)
                        : configured;
  Upstream& upstream = this->upstreams[announcement.id];
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

bool Guard::IsWithdrawn(const Upstream& upstream) const {
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
    Upstream& upstream = this->upstreams.at(request.upstream);
    if (!this->ledger.BeginForward(request.request_id)) {
      this->Dispatch(upstream.gate->Finish(
                         ticket, admission::RunEnd::kCancelled, MonotonicNow()),
                     wakes);
      --this->in_flight;
      return this->ResultFor(
          request.upstream,
          once::NotRun{.reason = once::RefusalReason::kFenced});
    }
    upstream.running[ticket] = request.fingerprint;
    endpoint = upstream.announcement.endpoint;
  }
  const once::Outcome outcome = this->Forward(request, endpoint, deadline);
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
  auto waiter = std::make_shared<Waiter>();
  auto decided = waiter->decision.get_future();
  {
    Wakes wakes;
    const std::lock_guard lock(this->mutex);
    const auto found = this->upstreams.find(request.upstream);
    if (found == this->upstreams.end()) {
      return admission::RefuseTicket{
          .ticket = ticket,
          .refusal = {.reason = once::RefusalReason::kUpstreamGone}};
    }
    this->waiters[ticket] = std::move(waiter);
    this->Dispatch(found->second.gate->Offer(
                       {.ticket = ticket,
                        .organisation = request.organisation,
                        .weight = this->WeightOf(request.organisation),
                        .deadline = deadline},
                       MonotonicNow()),
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

// A request that may not be repeated gets a connection of its own: on a kept
// one the upstream may just be closing, and then nobody knows whether it ran.
once::Outcome Guard::Forward(const once::RunRequest& request,
                             const Endpoint& endpoint,
                             Instant deadline) {
  const Duration left = deadline - MonotonicNow();
  http::Call call{.server = endpoint,
                  .request = request.request,
                  .timeout = std::max(left, Duration(1)),
                  .reuse_connection = request.idempotent};
  call.request.headers.push_back(
      {.name = "Kingcupstair-Request-Id", .value = request.request_id});
  call.request.headers.push_back(
      {.name = "Kingcupstair-Organisation", .value = request.organisation});
  call.request.headers.push_back(
      {.name = "Kingcupstair-Deadline-Ms",
       .value = absl::StrCat(ToMillisRoundedUp(left))});
  const http::Result result = http::Exchange(call);
  if (result.ok()) {
    return once::Ran{.response = result.response};
  }
  if (result.failure.stage == http::Stage::kConnect) {
    return once::NotRun{.reason = once::RefusalReason::kConnectFailed};
  }
  const auto message = result.failure.status.message();
  return once::Unknown{.detail = std::string(message.data(), message.size()),
                       .upstream_broke = !result.failure.timed_out};
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
  Upstream& upstream = found->second;
  upstream.running.erase(ticket);
  if (std::holds_alternative<once::Ran>(outcome)) {
    this->crashes.Clear(request.fingerprint, now);
  }
  if (BrokeConnection(outcome)) {
    this->NoteBreak(upstream, request);
  }
  if (crashed || std::holds_alternative<once::NotRun>(outcome)) {
    this->MarkUnreachable(upstream);
  }
  this->Dispatch(upstream.gate->Finish(ticket, EndOf(outcome), now), wakes);
  return this->ResultFor(request.upstream, outcome);
}

void Guard::MarkUnreachable(Upstream& upstream) {
  if (!upstream.unreachable) {
    this->RecordUpstream("upstream_unreachable", upstream.announcement, "");
  }
  upstream.unreachable = true;
  this->BlameBroken(upstream);
}

void Guard::NoteBreak(Upstream& upstream, const once::RunRequest& request) {
  upstream.broken.push_back(request.fingerprint);
  this->RecordUpstream("upstream_broke_connection", upstream.announcement,
                       absl::StrCat("request ", request.request_id));
}

// A broken connection alone is no crash: only when the upstream then refuses
// connections or comes back as another life are the requests that were running
// held against it.
void Guard::BlameBroken(Upstream& upstream) {
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
    Upstream& upstream = at->second;
    this->Dispatch(upstream.gate->Tick(now), wakes);
    if (refuse_all || this->IsWithdrawn(upstream)) {
      this->Dispatch(
          upstream.gate->RefuseWaiting(once::RefusalReason::kWithdrawn), wakes);
    }
    const bool silent =
        now - upstream.last_seen > this->options.announcement_life;
    if (silent && upstream.gate->in_flight() == 0) {
      this->Dispatch(
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
      records.push_back(this->RecordOf(upstream, now));
    }
  }
  return records;
}

void Guard::Dispatch(const std::vector<admission::GateDecision>& decisions,
                     Wakes& wakes) {
  for (const admission::GateDecision& decision : decisions) {
    const auto ticket =
        std::visit([](const auto& each) { return each.ticket; }, decision);
    const auto found = this->waiters.find(ticket);
    if (found != this->waiters.end()) {
      wakes.Add(found->second, decision);
      this->waiters.erase(found);
    }
  }
}

rpc::RunResult Guard::ResultFor(const std::string& id,
                                const once::Outcome& outcome) const {
  rpc::RunResult result{.outcome = outcome};
  const auto found = this->upstreams.find(id);
  if (found != this->upstreams.end()) {
    const Instant now = MonotonicNow();
    const auto report = found->second.gate->Report(now);
    result.report = this->RecordOf(found->second, now);
    result.in_flight = report.in_flight;
    result.queued = report.queued;
  }
  return result;
}

membership::UpstreamRecord Guard::RecordOf(const Upstream& upstream,
                                           Instant now) const {
  const auto report = upstream.gate->Report(now);
  return {.id = upstream.announcement.id,
          .service = upstream.announcement.service,
          .slots = std::max(1, upstream.announcement.slots),
          .limit = report.limit,
          .latency = report.latency,
          .error_share = report.error_share,
          .finished = report.finished};
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
