#include "components/admission/upstream_gate.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"

namespace kingcupstair::admission {
namespace {

constexpr double kLatencyWeight = 0.25;
constexpr double kErrorWeight = 0.2;
/// A request that timed out after more than this many times the average latency
/// had enough time, so the timeout counts as a failure.
constexpr int kFullTimeMultiple = 3;
/// Weight with which longer latencies raise the minimum latency: a fast
/// response a hundred responses ago is hardly relevant.
constexpr double kMinLatencyWeight = 0.02;
/// Least fraction of the latency objective that is reported as a latency.
constexpr double kMinRelativeLatency = 0.25;
constexpr Duration kRetryAfterWhenBusy{std::chrono::milliseconds(500)};

/// Requests that an upstream may get at once under the limit that it names, as
/// the time in which the limit permits them.
constexpr double kNamedBurstSeconds = 0.5;
/// Least limit in force, in requests a second. Only responses tell when a limit
/// ends, so an upstream that takes nothing gets a request now and then.
constexpr double kMinNamedRate = 0.2;

/// Sliding window over which the rate limit counts started requests.
constexpr Duration kRateWindow{std::chrono::seconds(1)};
/// Lifetime in the queue of a request with a maximum wait of zero. Such a
/// request passes through the queue too and must not have expired there.
constexpr Duration kMinWait{std::chrono::milliseconds(1)};
/// Ratio of the weights of two successive priorities: one step of priority
/// outweighs a rate limit this many times as high.
constexpr double kPriorityFactor = 8;
/// Prefix of the flows of requests that come back as told after a refusal. They
/// rank one priority higher than before.
constexpr char kReturnedFlowPrefix[] = "returned/";
/// A waiting request is refused if its expected wait is longer than the time it
/// has left by this factor. Expectations within it change with each response.
constexpr double kHopelessFactor = 1.25;
/// A request is queued if its expected wait is at most this fraction of the
/// time it can wait. A refusal at once is worth more to its caller than one
/// after a wait: with the whole time, one refusal in six came after a wait.
constexpr double kAdmittedFraction = 0.7;
/// Interval of that check, which takes time in proportion to the queue.
constexpr Duration kHopelessInterval{std::chrono::milliseconds(40)};

// Each priority of an organisation has its own flow, so that urgent requests
// don't wait behind less urgent ones of the same organisation.
std::string FlowKey(const GateRequest& request) {
  return absl::StrCat(request.priority, "/", request.organisation);
}

double FlowWeight(const GateRequest& request) {
  return request.weight * std::pow(kPriorityFactor, -request.priority);
}

RefuseTicket Refuse(TicketId ticket, once::RefusalReason reason) {
  const bool busy = reason == once::RefusalReason::kQueueFull ||
                    reason == once::RefusalReason::kQueueTimeout;
  return {.ticket = ticket,
          .refusal = {.reason = reason,
                      .retry_after = busy ? kRetryAfterWhenBusy : Duration{}}};
}

}  // namespace

UpstreamGate::UpstreamGate(Options options)
    : options(std::move(options)),
      concurrency({.slots = this->options.slots}),
      queue({}) {
  if (const auto* by_work =
          std::get_if<WorkAdmission>(&this->options.admission)) {
    this->work.emplace(*by_work);
  }
}

std::vector<GateDecision> UpstreamGate::Offer(const GateRequest& request,
                                              Instant now) {
  if (this->work.has_value()) {
    return this->OfferByWork(request, now);
  }
  std::vector<GateDecision> decisions;
  const Duration max_wait = request.max_wait.value_or(this->options.max_wait);
  const bool can_start_now = this->queue.size() == 0 &&
                             this->in_flight() < this->Limit() &&
                             this->CanStart(now);
  if (max_wait == Duration{} && !can_start_now) {
    decisions.push_back(this->RefuseAsFull(request));
    return decisions;
  }
  const Instant expires = std::min(request.deadline - this->MinLatency(),
                                   now + std::max(max_wait, kMinWait));
  if (expires <= now) {
    decisions.push_back(
        Refuse(request.ticket, once::RefusalReason::kQueueTimeout));
    return decisions;
  }
  const bool queued = now + this->ExpectedWait(request) < expires &&
                      this->queue.Push({.ticket = request.ticket,
                                        .organisation = FlowKey(request),
                                        .weight = FlowWeight(request),
                                        .internal = request.internal,
                                        .expires = expires});
  if (!queued) {
    decisions.push_back(this->RefuseAsFull(request));
    return decisions;
  }
  this->queued_objectives[request.ticket] = request.objective;
  this->StartQueued(now, decisions);
  return decisions;
}

// The wait is bounded as with admission by latency, so that a wrong estimate
// refuses requests too early or too late, but doesn't keep them longer.
std::vector<GateDecision> UpstreamGate::OfferByWork(const GateRequest& request,
                                                    Instant now) {
  std::vector<GateDecision> decisions;
  const Duration max_wait = request.max_wait.value_or(this->options.max_wait);
  const bool can_start_now = this->queue.size() == 0 &&
                             this->in_flight() < this->Limit() &&
                             this->CanStart(now);
  if (max_wait == Duration{} && !can_start_now) {
    decisions.push_back(this->RefuseByWork(
        request, once::RefusalReason::kQueueFull, false, now));
    return decisions;
  }
  const ExpectedRun run = this->work->Expect(request.work_key);
  const Instant expires = std::min(request.deadline - run.least,
                                   now + std::max(max_wait, kMinWait));
  if (expires <= now) {
    decisions.push_back(this->RefuseByWork(
        request, once::RefusalReason::kQueueTimeout, false, now));
    return decisions;
  }
  const bool returns =
      !can_start_now && this->work->RedeemReturn(FlowKey(request), now);
  const QueuedRequest usual{
      .ticket = request.ticket,
      .organisation = FlowKey(request),
      .weight = FlowWeight(request),
      .internal = request.internal,
      .work = ToSeconds(run.mean),
      .expires = expires,
      .late_from = request.objective > Duration{}
                       ? now + request.objective - run.median
                       : Instant::max()};
  QueuedRequest queued = usual;
  if (returns) {
    queued.organisation = kReturnedFlowPrefix + usual.organisation;
    queued.weight = usual.weight * kPriorityFactor;
  }
  const bool in_time =
      can_start_now || this->ExpectedWaitByWork(queued, returns, now) <
                           FractionOf(expires - now, kAdmittedFraction);
  if (!in_time || !this->queue.Push(queued)) {
    decisions.push_back(this->RefuseByWork(
        request, once::RefusalReason::kQueueFull, !returns, now));
    return decisions;
  }
  this->queued_objectives[request.ticket] = request.objective;
  this->queued_requests[request.ticket] = {
      .request = request, .queued = usual, .returned = returns};
  if (returns) {
    this->queue.Charge(usual, usual.work);
  }
  this->StartQueued(now, decisions);
  return decisions;
}

// A request that can only end late waits for all others.
Duration UpstreamGate::ExpectedWaitByWork(const QueuedRequest& queued,
                                          bool returns,
                                          Instant now) const {
  const int ahead = this->queue.CountAhead(queued);
  const double work = this->queue.WorkAhead(queued);
  Duration wait = this->work->WaitBehind(work, this->Limit(), now);
  if (!returns) {
    const double to_return = this->work->WorkToReturn(now + wait, now);
    wait = this->work->WaitBehind(work + to_return, this->Limit(), now);
  }
  if (now + wait >= queued.late_from) {
    wait = this->work->WaitBehind(this->queue.TotalWork(), this->Limit(), now);
  }
  const Duration in_flow =
      queued.internal
          ? Duration{}
          : this->work->WaitInFlow(queued, this->queue.WorkOfFlow(queued),
                                   this->Limit(), now);
  return std::max({wait, in_flow, this->TimeToNamedStart(ahead)});
}

// Only a request that would have waited is told when to come back: a search for
// a free slot asks several upstreams and is told by one.
RefuseTicket UpstreamGate::RefuseByWork(const GateRequest& request,
                                        once::RefusalReason reason,
                                        bool may_return,
                                        Instant now) {
  RefuseTicket refused = Refuse(request.ticket, reason);
  if (may_return) {
    refused.refusal.retry_after = this->work->RetryAfter(
        FlowKey(request), this->work->Expect(request.work_key),
        this->queue.TotalWork(), this->Limit(), request.deadline - now, now);
  }
  refused.refusal.retry_after =
      std::max(refused.refusal.retry_after,
               this->TimeToNamedStart(static_cast<double>(this->queue.size())));
  return refused;
}

// The sooner a caller is refused, the more time is left to send the request
// elsewhere or again.
void UpstreamGate::RefuseHopeless(Instant now,
                                  std::vector<GateDecision>& decisions) {
  if (this->queue.size() == 0 ||
      now - this->hopeless_checked_at < kHopelessInterval) {
    return;
  }
  this->hopeless_checked_at = now;
  const Duration first = this->work->WaitBehind(0, this->Limit(), now);
  double ahead = 0;
  for (const QueuedRequest& queued : this->queue.InOrder(now)) {
    const Duration wait =
        first + Duration(static_cast<int64_t>(ahead / this->Limit() * 1e6));
    if (wait <= FractionOf(queued.expires - now, kHopelessFactor)) {
      ahead += queued.work;
      continue;
    }
    this->queue.Remove(queued.ticket);
    const auto found = this->queued_requests.find(queued.ticket);
    decisions.push_back(this->RefuseByWork(found->second.request,
                                           once::RefusalReason::kQueueTimeout,
                                           !found->second.returned, now));
    this->queued_requests.erase(found);
    this->queued_objectives.erase(queued.ticket);
  }
}

// A caller can't do better than to come back when the limit that the upstream
// has named permits the next request.
RefuseTicket UpstreamGate::RefuseAsFull(const GateRequest& request) const {
  RefuseTicket refused =
      Refuse(request.ticket, once::RefusalReason::kQueueFull);
  refused.refusal.retry_after =
      std::max(refused.refusal.retry_after,
               this->TimeToNamedStart(static_cast<double>(this->queue.size())));
  return refused;
}

std::vector<GateDecision> UpstreamGate::Finish(TicketId ticket,
                                               RunEnd end,
                                               Instant now) {
  std::vector<GateDecision> decisions;
  const auto found = this->running.find(ticket);
  if (found == this->running.end()) {
    return decisions;
  }
  const Duration latency = now - found->second.since;
  const Duration objective = found->second.objective;
  this->running.erase(found);
  if (this->work.has_value()) {
    const bool rate_limited =
        std::holds_alternative<RateLimitedWarmUp>(this->options.warm_up);
    const bool is_cold = rate_limited ? this->cold : this->concurrency.cold();
    this->work->OnEnd(ticket, end == RunEnd::kSuccess,
                      !is_cold && !this->suspected, this->queue, now);
  }
  const bool had_enough_time =
      latency > this->AverageLatency() * kFullTimeMultiple;
  if (end == RunEnd::kSuccess) {
    this->RecordLatency(latency, objective);
    this->error_share *= 1 - kErrorWeight;
    this->concurrency.OnSuccess(latency, now);
    ++this->finished;
  } else if (end == RunEnd::kFailure ||
             (end == RunEnd::kTimeout && had_enough_time)) {
    this->RecordFailure(now);
  }
  this->StartQueued(now, decisions);
  return decisions;
}

std::vector<GateDecision> UpstreamGate::Tick(Instant now) {
  std::vector<GateDecision> decisions;
  for (const TicketId ticket : this->queue.RemoveExpired(now)) {
    this->queued_objectives.erase(ticket);
    const auto queued = this->queued_requests.find(ticket);
    if (queued == this->queued_requests.end()) {
      decisions.push_back(Refuse(ticket, once::RefusalReason::kQueueTimeout));
      continue;
    }
    decisions.push_back(this->RefuseByWork(queued->second.request,
                                           once::RefusalReason::kQueueTimeout,
                                           !queued->second.returned, now));
    this->queued_requests.erase(queued);
  }
  if (this->work.has_value()) {
    this->RefuseHopeless(now, decisions);
  }
  this->StartQueued(now, decisions);
  return decisions;
}

std::vector<GateDecision> UpstreamGate::RefuseQueued(
    once::RefusalReason reason) {
  std::vector<GateDecision> decisions;
  for (const TicketId ticket : this->queue.RemoveAll()) {
    decisions.push_back(Refuse(ticket, reason));
  }
  this->queued_objectives.clear();
  this->queued_requests.clear();
  return decisions;
}

void UpstreamGate::SetWarmUpRate(double rate) {
  if (auto* limited = std::get_if<RateLimitedWarmUp>(&this->options.warm_up)) {
    limited->rate = rate;
  }
}

// A limit that changes keeps the level of the bucket, so that an upstream that
// names another one with each response gets no burst each time.
void UpstreamGate::SetNamedRate(std::optional<double> rate, Instant now) {
  if (!rate.has_value()) {
    this->named.reset();
    return;
  }
  if (!this->named.has_value()) {
    this->named = NamedLimit{.bucket = limits::TokenBucket(now)};
  }
  this->named->bucket.Refill(this->named->limit, now);
  const double in_force = std::max(*rate, kMinNamedRate);
  this->named->limit = {.rate = in_force,
                        .depth = std::max(1.0, in_force * kNamedBurstSeconds)};
}

Duration UpstreamGate::TimeToNamedStart(double ahead) const {
  if (!this->named.has_value()) {
    return {};
  }
  const double missing = ahead + 1 - this->named->bucket.tokens();
  return Duration(static_cast<int64_t>(std::max(missing, 0.0) /
                                       this->named->limit.rate * 1e6));
}

void UpstreamGate::Reset() {
  this->concurrency = ConcurrencyLimit({.slots = this->options.slots});
  this->average_latency_micros = 0;
  this->min_latency_micros = 0;
  this->relative_latency = 0;
  this->error_share = 0;
  this->finished = 0;
  this->cold = true;
  this->named.reset();
  if (this->work.has_value()) {
    this->work->OnRestart();
  }
}

// A hanging upstream completes no requests, so the age of its running requests
// counts as latency too.
GateReport UpstreamGate::Report(Instant now) const {
  Duration oldest{};
  for (const auto& [ticket, each] : this->running) {
    oldest = std::max(oldest, now - each.since);
  }
  const bool rate_limited =
      std::holds_alternative<RateLimitedWarmUp>(this->options.warm_up);
  return {.in_flight = this->in_flight(),
          .queued = static_cast<int>(this->queue.size()),
          .limit = this->ReportedLimit(),
          .named_rate = this->named.has_value() ? this->named->limit.rate : 0,
          .cold = !rate_limited && this->concurrency.cold(),
          .latency = rate_limited ? this->RelativeLatency()
                                  : std::max(this->AverageLatency(), oldest),
          .remaining_work = this->RemainingWork(now),
          .error_share = this->error_share,
          .finished = this->finished};
}

Duration UpstreamGate::RemainingWork(Instant now) const {
  if (!this->work.has_value()) {
    return {};
  }
  const bool has_free_slot =
      this->queue.size() == 0 && this->in_flight() < this->Limit();
  const Duration wait =
      has_free_slot
          ? Duration{}
          : this->work->WaitBehind(this->queue.TotalWork(), this->Limit(), now);
  return std::max(
      {wait, this->TimeToNamedStart(static_cast<double>(this->queue.size())),
       Duration(1)});
}

void UpstreamGate::StartQueued(Instant now,
                               std::vector<GateDecision>& decisions) {
  while (this->in_flight() < this->Limit() && this->CanStart(now)) {
    const std::optional<TicketId> next = this->queue.Pop(now);
    if (!next.has_value()) {
      return;
    }
    this->running[*next] = {.since = now,
                            .objective = this->queued_objectives[*next]};
    this->queued_objectives.erase(*next);
    if (const auto queued = this->queued_requests.find(*next);
        queued != this->queued_requests.end()) {
      this->work->OnStart(queued->second.queued,
                          queued->second.request.work_key,
                          queued->second.returned, now);
      this->queued_requests.erase(queued);
    }
    this->recent_starts.push_back(now);
    if (this->named.has_value()) {
      this->named->bucket.Take(1);
    }
    decisions.push_back(StartTicket{.ticket = *next});
  }
}

void UpstreamGate::RecordFailure(Instant now) {
  this->error_share += kErrorWeight * (1 - this->error_share);
  this->concurrency.OnFailure(now);
  ++this->finished;
}

Duration UpstreamGate::AverageLatency() const {
  return Duration(static_cast<int64_t>(this->average_latency_micros));
}

// The minimum latency decides whether a deadline is too close. The average
// latency is unsuitable: request types of one service differ, and requests that
// take a tenth of the time of others were refused.
Duration UpstreamGate::MinLatency() const {
  return Duration(static_cast<int64_t>(this->min_latency_micros));
}

Duration UpstreamGate::ExpectedWait(const GateRequest& request) const {
  const double ahead = this->queue.CountAhead({.organisation = FlowKey(request),
                                               .weight = FlowWeight(request),
                                               .internal = request.internal});
  const double waves = ahead / this->Limit();
  return std::max(
      Duration(static_cast<int64_t>(waves * this->average_latency_micros)),
      this->TimeToNamedStart(ahead));
}

int UpstreamGate::Limit() const {
  return std::holds_alternative<RateLimitedWarmUp>(this->options.warm_up)
             ? this->options.slots
             : this->concurrency.limit();
}

// Little's law: requests that arrive at this rate and stay for the average
// latency.
int UpstreamGate::ReportedLimit() const {
  if (!this->named.has_value()) {
    return this->Limit();
  }
  const double at_once =
      std::ceil(this->named->limit.rate * ToSeconds(this->AverageLatency()));
  return static_cast<int>(
      std::clamp<double>(at_once, 1, std::max(1, this->Limit())));
}

bool UpstreamGate::CanStart(Instant now) {
  if (!this->WarmUpPermitsStart(now)) {
    return false;
  }
  if (!this->named.has_value()) {
    return true;
  }
  this->named->bucket.Refill(this->named->limit, now);
  return this->named->bucket.tokens() >= 1;
}

bool UpstreamGate::WarmUpPermitsStart(Instant now) {
  while (!this->recent_starts.empty() &&
         now - this->recent_starts.front() >= kRateWindow) {
    this->recent_starts.pop_front();
  }
  const auto* rate_limit =
      std::get_if<RateLimitedWarmUp>(&this->options.warm_up);
  if (rate_limit == nullptr || rate_limit->rate <= 0) {
    return true;
  }
  const double limit = this->cold ? rate_limit->rate
                                  : rate_limit->rate * rate_limit->warm_factor +
                                        rate_limit->warm_slack;
  return static_cast<double>(this->recent_starts.size()) + 1 <= limit;
}

// The latency of requests to one service varies widely, so upstreams are
// compared by the fraction of each request's latency objective that was used.
// Responses well within the objective are as good as faster ones, and each
// change of the report costs a message to every host.
Duration UpstreamGate::RelativeLatency() const {
  if (this->relative_latency == 0) {
    return {};
  }
  return Duration(static_cast<int64_t>(
      std::max(this->relative_latency, kMinRelativeLatency) *
      static_cast<double>(kRateWindow.count())));
}

void UpstreamGate::RecordLatency(Duration latency, Duration objective) {
  if (objective > Duration{}) {
    const double objective_fraction = static_cast<double>(latency.count()) /
                                      static_cast<double>(objective.count());
    this->relative_latency +=
        this->relative_latency == 0
            ? objective_fraction
            : kLatencyWeight * (objective_fraction - this->relative_latency);
  }
  const auto micros = static_cast<double>(latency.count());
  if (this->average_latency_micros == 0) {
    this->average_latency_micros = micros;
    this->min_latency_micros = micros;
  }
  this->min_latency_micros = std::min(
      micros, this->min_latency_micros +
                  kMinLatencyWeight * (micros - this->min_latency_micros));
  this->average_latency_micros +=
      kLatencyWeight * (micros - this->average_latency_micros);
}

}  // namespace kingcupstair::admission
