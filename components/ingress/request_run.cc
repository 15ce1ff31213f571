#include "components/ingress/request_run.h"

#include <algorithm>
#include <deque>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "components/base/hash.h"
#include "components/fibers/await.h"
#include "components/fibers/boundary.h"
#include "components/fibers/worker_pool.h"
#include "components/ingress/slot_search.h"
#include "components/ingress/work_class.h"
#include "components/retry/hedge_time.h"

namespace kingcupstair::ingress {
namespace {

/// Interval at which a waiting request checks whether its caller has
/// disconnected. Work for a caller that left more than 500 ms ago counts as
/// waste, and the interval is well below that.
constexpr Duration kCallerCheckInterval{std::chrono::milliseconds(100)};
/// Interval between two tries to hedge when there is no retry token or no slot.
/// Other requests earn the tokens; at the usual load that takes some tenths of
/// a second.
constexpr Duration kHedgeRetryInterval{std::chrono::milliseconds(200)};
/// Fraction of the latency objective that a request may wait for a slot. The
/// rest is about the time that an upstream needs to run the request.
constexpr double kQueueWaitFraction = 0.6;
/// Minimum time that a request may wait in a queue, however short its latency
/// objective is.
constexpr Duration kMinQueueWait{std::chrono::milliseconds(50)};
/// Search by the work at the upstreams: number of upstreams without a free slot
/// after which the request queues at the one with the least work.
constexpr int kMaxWithoutFreeSlot = 2;
/// Bounds of the time after which a refused caller comes back. Callers honour
/// at most a third of the time that is left.
constexpr double kMaxRetryAfterFraction = 1.0 / 3;
constexpr Duration kMinRetryAfter{std::chrono::milliseconds(200)};

bool IsServed(const once::Outcome& outcome) {
  constexpr int kFirstServerError = 500;
  const auto* ran = std::get_if<once::Ran>(&outcome);
  return ran != nullptr && ran->response.status < kFirstServerError;
}

/// Returns true if the attempt reached an upstream. The next attempt then needs
/// a token of the retry budget.
bool ReachedUpstream(const once::Outcome& outcome) {
  const auto* refusal = std::get_if<once::NotRun>(&outcome);
  return refusal == nullptr || refusal->reason == once::RefusalReason::kShed ||
         refusal->reason == once::RefusalReason::kMisdirected;
}

health::VersionEvidence EvidenceOf(const once::Outcome& outcome) {
  if (IsServed(outcome)) {
    return health::VersionEvidence::kServed;
  }
  const auto* unknown = std::get_if<once::Unknown>(&outcome);
  const bool was_cancelled = unknown != nullptr && unknown->cancelled;
  return std::holds_alternative<once::NotRun>(outcome) || was_cancelled
             ? health::VersionEvidence::kNone
             : health::VersionEvidence::kFailed;
}

}  // namespace

// An internal request may wait until only the latency objective is left of its
// remaining time, and so end late. If it were refused earlier, the request that
// it is part of would fail, and the work done for that request would be lost.
Duration MaxQueueWaitOf(const config::RouteRule& route) {
  return std::max(route.internal
                      ? route.deadline - route.objective
                      : FractionOf(route.objective, kQueueWaitFraction),
                  kMinQueueWait);
}

/// Queue of the outcomes of ended attempts, read by the fiber of the request.
/// Shared, since an attempt may outlive its request. All fibers that use it run
/// on one thread.
///
/// The request waits on a timer that the attempts cancel, and not on a
/// condition variable of the fiber library: before Boost 1.76 a timed wait can
/// miss a notification that comes just as the wait times out. A request that
/// misses the result of its attempt would never be answered.
struct RequestRun::Results {
  struct EndedAttempt {
    std::string attempt;
    once::Outcome outcome;
  };

  Results() : timer(*fibers::CurrentIoContext()) {}

  boost::asio::steady_timer timer;
  std::deque<EndedAttempt> ended;
};

/// A request for a slot that waits in a queue. Shared, since it may outlive its
/// request. All fibers that use it run on one thread.
struct RequestRun::QueueWait {
  QueueWait() : timer(*fibers::CurrentIoContext()) {}

  boost::asio::steady_timer timer;
  std::optional<rpc::SlotAnswer> answer;
  bool abandoned = false;
};

RequestRun::RequestRun(Context context, const AdmittedRequest& admitted)
    : context(std::move(context)),
      admitted(admitted),
      work_class(WorkClassOf(admitted.route,
                             admitted.service,
                             admitted.request.method)),
      results(std::make_shared<Results>()) {}

std::optional<once::Outcome> RequestRun::Execute() {
  auto outcome = this->RunAttempts();
  this->ReportAbandoned();
  return outcome;
}

void RequestRun::ReportEnd(const Attempt& attempt,
                           health::VersionEvidence evidence) {
  this->context.registry.OnAttemptEnded(
      {.service = this->admitted.service,
       .new_version = attempt.new_version,
       .work_class = this->work_class,
       .evidence = evidence,
       .latency = MonotonicNow() - attempt.started});
}

void RequestRun::ReportAbandoned() {
  for (const auto& [id, attempt] : this->running) {
    this->ReportEnd(attempt, health::VersionEvidence::kAbandoned);
  }
}

std::optional<once::Outcome> RequestRun::RunAttempts() {
  this->has_final_outcome = !this->StartAttempt(true);
  if (this->has_final_outcome && this->admitted.caller->IsCancelled()) {
    return std::nullopt;
  }
  while (!this->has_final_outcome) {
    const Instant now = MonotonicNow();
    if (this->admitted.caller->IsCancelled()) {
      this->MarkAttemptsUnknown("the caller went away");
      this->CancelAttempts();
      return std::nullopt;
    }
    if (now >= this->Deadline()) {
      this->EndAtDeadline();
      break;
    }
    if (this->IsHedgeDue(now)) {
      this->Hedge();
    }
    if (!this->WaitForResult(this->NextWakeTime(now))) {
      continue;
    }
    if (this->HandleResult()) {
      this->CancelAttempts();
    }
  }
  return this->last_outcome;
}

// The caller may send the request again elsewhere after the response of a host
// that stops, so work on it is no longer needed.
void RequestRun::EndAtDeadline() {
  if (MonotonicNow() >= this->admitted.deadline) {
    this->MarkAttemptsUnknown("no answer before the deadline");
    return;
  }
  this->MarkAttemptsUnknown("no answer before this host stopped");
  this->CancelAttempts();
}

void RequestRun::Hedge() {
  this->hedged = this->StartRetry(/*may_wait=*/false);
  this->next_hedge_at = MonotonicNow() + kHedgeRetryInterval;
}

bool RequestRun::StartRetry(bool may_wait) {
  if (!this->retry_token.Acquire(MonotonicNow(), this->context.try_retry) ||
      !this->StartAttempt(may_wait)) {
    return false;
  }
  this->retry_token.OnUsed();
  return true;
}

bool RequestRun::HandleResult() {
  Results::EndedAttempt ended;
  ended = std::move(this->results->ended.front());
  this->results->ended.pop_front();
  const auto attempt = this->running.find(ended.attempt);
  if (attempt == this->running.end()) {
    return false;
  }
  this->context.log_attempt_end("run", attempt->second.choice, ended.outcome);
  this->ReportEnd(attempt->second, EvidenceOf(ended.outcome));
  this->running.erase(attempt);
  if (IsServed(ended.outcome)) {
    this->last_outcome = std::move(ended.outcome);
    this->has_final_outcome = true;
    return true;
  }
  this->has_reached_upstream =
      this->has_reached_upstream || ReachedUpstream(ended.outcome);
  const auto* unknown = std::get_if<once::Unknown>(&ended.outcome);
  this->upstreams_broken +=
      unknown != nullptr && unknown->upstream_broke ? 1 : 0;
  this->last_outcome =
      retry::CombineOutcomes(this->last_outcome, ended.outcome);
  // The attempt that still runs may hang, and is then hedged in its turn.
  this->hedged = !this->IsRetryAllowed(ended.outcome);
  if (!this->running.empty()) {
    return false;
  }
  this->has_final_outcome = !this->RetryIfAllowed(ended.outcome);
  return this->has_final_outcome;
}

bool RequestRun::IsRetryAllowed(const once::Outcome& outcome) const {
  const bool again = std::holds_alternative<retry::RetryElsewhere>(
      retry::DecideNextStep({.outcome = outcome,
                             .idempotency = this->admitted.route.idempotency,
                             .attempts = this->attempts,
                             .max_attempts = this->admitted.route.attempts,
                             .upstreams_broken = this->upstreams_broken,
                             .remaining_time = this->RemainingTime()}));
  return again && this->admitted.dedupe_key.empty();
}

bool RequestRun::RetryIfAllowed(const once::Outcome& outcome) {
  if (!this->IsRetryAllowed(outcome)) {
    return false;
  }
  return ReachedUpstream(outcome) ? this->StartRetry(/*may_wait=*/true)
                                  : this->StartAttempt(/*may_wait=*/true);
}

bool RequestRun::IsHedgeDue(Instant now) const {
  if (this->hedged || now < this->next_hedge_at ||
      !this->admitted.IsIdempotent() || this->running.size() != 1 ||
      this->attempts >= this->admitted.route.attempts) {
    return false;
  }
  return now >= retry::HedgeTime(this->running.begin()->second.started,
                                 this->admitted.route.objective,
                                 this->context.respond_by());
}

Instant RequestRun::NextWakeTime(Instant now) const {
  return std::min(this->Deadline(), now + kCallerCheckInterval);
}

bool RequestRun::WaitForResult(Instant until) {
  if (this->results->ended.empty()) {
    WaitOnTimer(this->results->timer, until);
  }
  return !this->results->ended.empty();
}

void RequestRun::WaitOnTimer(boost::asio::steady_timer& timer, Instant until) {
  timer.expires_after(std::max(until - MonotonicNow(), Duration(1)));
  fibers::Await([&](auto handler) {
    timer.async_wait(
        [handler](boost::system::error_code ec) mutable { handler(ec); });
  });
}

// Evidence that the request crashes upstreams may have come since the request
// was admitted.
bool RequestRun::StartAttempt(bool may_wait) {
  if (const Duration refused_for = this->context.refused_for();
      refused_for > Duration{}) {
    this->last_outcome = retry::CombineOutcomes(
        this->last_outcome,
        once::NotRun{.reason = once::RefusalReason::kCrashesUpstreams,
                     .retry_after = refused_for});
    return false;
  }
  const auto choice = this->FindSlot(may_wait);
  if (!choice.has_value()) {
    return false;
  }
  const std::string id = this->next_attempt_id;
  this->attempted_upstreams.insert(choice->upstream);
  this->running[id] = {.choice = *choice,
                       .started = MonotonicNow(),
                       .new_version = this->context.registry.OnAttemptStarted(
                           this->admitted.service, choice->upstream)};
  ++this->attempts;
  this->body_crossed_zones =
      this->body_crossed_zones ||
      (choice->in_other_zone && this->admitted.request.body.size() > 0);
  fibers::Launch("attempt", [results = this->results,
                             &runner = this->context.runner, choice = *choice,
                             run = this->MakeRunRequest(*choice)] {
    once::Outcome outcome = fibers::RunOr(
        "attempt", [&] { return runner.Run(choice, run); },
        [] {
          return once::Outcome(once::Unknown{.detail = once::kInternalError});
        });
    results->ended.push_back(
        {.attempt = run.request_id, .outcome = std::move(outcome)});
    results->timer.cancel();
  });
  return true;
}

// The caller may disconnect while the request waits for its slot.
std::optional<ChosenUpstream> RequestRun::FindSlot(bool may_wait) {
  this->next_attempt_id = RandomId();
  const auto trial = this->FindNewVersionSlot();
  if (trial.has_value()) {
    if (!this->admitted.caller->IsCancelled()) {
      return trial;
    }
    this->context.runner.Cancel(*trial, this->next_attempt_id);
  }
  this->places_by_work = this->admitted.dedupe_key.empty() &&
                         this->context.registry.PlacesByWork(
                             this->admitted.service, MonotonicNow());
  if (const auto refusal = this->RefuseWithoutRoom()) {
    this->last_outcome = retry::CombineOutcomes(this->last_outcome, *refusal);
    return std::nullopt;
  }
  SlotSearch search(this->SearchOptions(may_wait));
  while (!this->admitted.caller->IsCancelled() &&
         MonotonicNow() < this->Deadline()) {
    const SlotStep step = search.Next();
    if (step.kind == SlotStep::Kind::kGiveUp) {
      break;
    }
    if (const auto granted = this->RequestSlot(step, search, may_wait)) {
      if (!this->admitted.caller->IsCancelled()) {
        return granted;
      }
      this->context.runner.Cancel(*granted, this->next_attempt_id);
    }
  }
  this->last_outcome =
      retry::CombineOutcomes(this->last_outcome, search.last_refusal());
  return std::nullopt;
}

SlotSearch::Options RequestRun::SearchOptions(bool may_wait) const {
  if (!this->places_by_work) {
    return {.may_wait = may_wait, .may_use_unhealthy = may_wait};
  }
  return {.max_tried_idle = 0,
          .may_wait = may_wait,
          .may_use_unhealthy = may_wait,
          .max_without_free_slot = kMaxWithoutFreeSlot,
          .by_remaining_work = true};
}

std::optional<once::NotRun> RequestRun::RefuseWithoutRoom() const {
  if (!this->places_by_work) {
    return std::nullopt;
  }
  const auto no_room = this->context.registry.FindNoRoom(
      this->admitted.service, this->attempted_upstreams, this->MaxQueueWait(),
      MonotonicNow());
  if (!no_room.has_value()) {
    return std::nullopt;
  }
  this->context.log_no_room(*no_room);
  const Duration honoured =
      std::max(kMinRetryAfter,
               FractionOf(this->RemainingTime(), kMaxRetryAfterFraction));
  return once::NotRun{.reason = once::RefusalReason::kQueueFull,
                      .retry_after = std::min(no_room->retry_after, honoured)};
}

std::optional<ChosenUpstream> RequestRun::FindNewVersionSlot() {
  if (this->is_counted_for_rollout || this->attempts > 0 ||
      !this->admitted.dedupe_key.empty()) {
    return std::nullopt;
  }
  this->is_counted_for_rollout = true;
  const auto choice = this->context.registry.ChooseNewVersion(
      this->admitted.service, this->IsNonRetryable(), MonotonicNow());
  if (!choice.has_value()) {
    return std::nullopt;
  }
  SlotSearch search({});
  return this->RequestSlot(
      {.kind = SlotStep::Kind::kTryLeastLoaded, .choice = *choice}, search,
      /*may_wait=*/false);
}

std::optional<ChosenUpstream> RequestRun::RequestSlot(const SlotStep& step,
                                                      SlotSearch& search,
                                                      bool may_wait) {
  const auto placed = this->ChooseUpstream(step, search);
  if (!placed.has_value()) {
    search.OnNoCandidate();
    return std::nullopt;
  }
  const ChosenUpstream* choice = &placed->choice;
  // One message less if the upstream has no free slot, as reported.
  const bool waits =
      step.kind == SlotStep::Kind::kQueue || (may_wait && placed->expects_wait);
  const once::SlotRequest request{
      .request_id = this->next_attempt_id,
      .incarnation = choice->incarnation,
      .organisation = this->admitted.organisation,
      .upstream = choice->upstream,
      .priority = this->admitted.priority,
      .internal = this->admitted.route.internal,
      .non_retryable = this->IsNonRetryable(),
      .accept_unhealthy = step.kind == SlotStep::Kind::kLastResort ||
                          step.kind == SlotStep::Kind::kTryDoubtful,
      .objective = this->admitted.route.objective,
      .max_in_flight = step.kind == SlotStep::Kind::kTryIdle
                           ? this->context.registry.HalfMeanInFlight(
                                 this->admitted.service, MonotonicNow())
                           : once::kUnlimitedInFlight,
      .work_class = this->work_class,
      .body_bytes = this->admitted.request.body.size(),
      .max_wait = waits ? this->MaxQueueWait() : Duration{},
      .remaining_time = this->RemainingTime()};
  const rpc::SlotAnswer answer =
      waits ? this->WaitInQueue(*choice, request)
            : this->context.runner.Reserve(*choice, request);
  if (answer.granted) {
    this->context.log_attempt_start(this->next_attempt_id, *choice, answer);
    return *choice;
  }
  if (answer.refusal.reason == once::RefusalReason::kConnectFailed) {
    this->context.log_attempt_end("reserve", *choice, answer.refusal);
  }
  search.OnRefused(step, *choice, answer);
  return std::nullopt;
}

// The host may be told to stop, or the caller may disconnect, while the request
// is in the queue. The slot is then released when it is granted.
rpc::SlotAnswer RequestRun::WaitInQueue(const ChosenUpstream& choice,
                                        const once::SlotRequest& request) {
  const auto wait = std::make_shared<QueueWait>();
  fibers::Launch("wait for a slot", [wait, &runner = this->context.runner,
                                     choice, request] {
    wait->answer = fibers::RunOr(
        "reserve a slot", [&] { return runner.Reserve(choice, request); },
        [] {
          return rpc::SlotAnswer{
              .refusal = {.reason = once::RefusalReason::kConnectFailed}};
        });
    wait->timer.cancel();
    if (wait->abandoned && wait->answer->granted) {
      runner.Cancel(choice, request.request_id);
    }
  });
  while (!wait->answer.has_value() && MonotonicNow() < this->Deadline() &&
         !this->admitted.caller->IsCancelled()) {
    WaitOnTimer(wait->timer, this->NextWakeTime(MonotonicNow()));
  }
  if (wait->answer.has_value()) {
    return *wait->answer;
  }
  wait->abandoned = true;
  return {.refusal = {.reason = once::RefusalReason::kQueueTimeout}};
}

std::optional<PlacedUpstream> RequestRun::ChooseUpstream(
    const SlotStep& step,
    const SlotSearch& search) {
  if (step.kind != SlotStep::Kind::kTryFree &&
      step.kind != SlotStep::Kind::kTryIdle) {
    return PlacedUpstream{.choice = step.choice};
  }
  const auto without_placement = [](std::optional<ChosenUpstream> chosen)
      -> std::optional<PlacedUpstream> {
    return chosen.has_value()
               ? std::optional(PlacedUpstream{.choice = std::move(*chosen)})
               : std::nullopt;
  };
  const Instant now = MonotonicNow();
  if (!this->admitted.dedupe_key.empty()) {
    return search.tried_upstreams().empty()
               ? without_placement(this->context.registry.ChooseOnHomeHost(
                     this->admitted.service, this->admitted.dedupe_key, now))
               : std::nullopt;
  }
  std::set<std::string> tried = this->attempted_upstreams;
  tried.insert(search.tried_upstreams().begin(),
               search.tried_upstreams().end());
  const auto health = this->IsNonRetryable()
                          ? balancing::HealthPreference::kLeastLikelyToFail
                          : balancing::HealthPreference::kAny;
  if (this->places_by_work) {
    return this->context.registry.Place(
        this->admitted.service, tried,
        {.objective = this->admitted.route.objective,
         .body_bytes = this->admitted.request.body.size(),
         .has_crossed_zones = this->body_crossed_zones,
         .health = health},
        now);
  }
  return without_placement(this->context.registry.Choose(
      this->admitted.service, tried,
      step.any_zone ? balancing::ZonePreference::kAnyZone
                    : balancing::ZonePreference::kOwnZone,
      health, now));
}

bool RequestRun::IsNonRetryable() const {
  return !this->admitted.IsIdempotent() || this->attempts > 0 ||
         this->admitted.route.attempts == 1;
}

// The caller's deadline may be earlier than that of the route.
Duration RequestRun::MaxQueueWait() const {
  const Instant latest =
      this->admitted.route.internal
          ? this->Deadline() - this->admitted.route.objective
          : this->admitted.arrived + MaxQueueWaitOf(this->admitted.route);
  return std::max(latest - MonotonicNow(), kMinQueueWait);
}

void RequestRun::MarkAttemptsUnknown(const char* reason) {
  for (const auto& [id, attempt] : this->running) {
    this->last_outcome = once::Unknown{.detail = reason};
    this->context.log_attempt_end("wait", attempt.choice, this->last_outcome);
  }
}

void RequestRun::CancelAttempts() {
  this->ReportAbandoned();
  for (const auto& [id, attempt] : this->running) {
    fibers::Launch("cancel an attempt",
                   [&runner = this->context.runner, choice = attempt.choice,
                    id = id] { runner.Cancel(choice, id); });
  }
  this->running.clear();
}

once::RunRequest RequestRun::MakeRunRequest(
    const ChosenUpstream& choice) const {
  return {.request_id = this->next_attempt_id,
          .incarnation = choice.incarnation,
          .organisation = this->admitted.organisation,
          .upstream = choice.upstream,
          .fingerprint = this->admitted.fingerprint,
          .idempotent = this->admitted.IsIdempotent(),
          .dedupe_key = this->admitted.dedupe_key,
          .remaining_time = this->RemainingTime(),
          .objective = this->admitted.route.objective,
          .caller_service = this->context.caller_service,
          .repeat_probability =
              this->has_reached_upstream || this->running.size() > 1
                  ? 1
                  : this->admitted.repeat_probability,
          .work_class = this->work_class,
          .request = this->admitted.request};
}

Duration RequestRun::RemainingTime() const {
  return this->Deadline() - MonotonicNow();
}

Instant RequestRun::Deadline() const {
  return std::min(this->admitted.deadline, this->context.respond_by());
}

}  // namespace kingcupstair::ingress
