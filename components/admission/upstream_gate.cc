#include "components/admission/upstream_gate.h"

#include <algorithm>
#include <cmath>

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
    : options(options), concurrency({.slots = options.slots}), queue({}) {}

std::vector<GateDecision> UpstreamGate::Offer(const GateRequest& request,
                                              Instant now) {
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
    decisions.push_back(Refuse(ticket, once::RefusalReason::kQueueTimeout));
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
          .error_share = this->error_share,
          .finished = this->finished};
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
