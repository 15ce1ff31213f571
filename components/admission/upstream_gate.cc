#include "components/admission/upstream_gate.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"

namespace kingcupstair::admission {
namespace {

constexpr double kLatencyWeight = 0.25;
constexpr double kErrorWeight = 0.2;
/// A request that had this many times the usual latency had enough time.
constexpr int kEnoughTimes = 3;
/// By how much of the distance the shortest latency follows longer ones: what
/// was fast a hundred answers ago says little.
constexpr double kShortestWeight = 0.02;
constexpr Duration kRetryWhenFull{std::chrono::milliseconds(500)};

/// Bounds on new requests hold for each span of this length.
constexpr Duration kRateWindow{std::chrono::seconds(1)};
/// A request that does not wait still needs its ticket to be valid now.
constexpr Duration kLeastWait{std::chrono::milliseconds(1)};
/// One rank of priority outweighs this many times the rate.
constexpr double kPriorityFactor = 8;

// Each rank of an organisation waits in a flow of its own, so that what is
// urgent does not stand behind what is not.
std::string FlowOf(const GateRequest& request) {
  return absl::StrCat(request.priority, "/", request.organisation);
}

double WeightOf(const GateRequest& request) {
  return request.weight * std::pow(kPriorityFactor, -request.priority);
}

RefuseTicket Refuse(TicketId ticket, once::RefusalReason reason) {
  const bool busy = reason == once::RefusalReason::kQueueFull ||
                    reason == once::RefusalReason::kQueueTimeout;
  return {.ticket = ticket,
          .refusal = {.reason = reason,
                      .retry_after = busy ? kRetryWhenFull : Duration{}}};
}

}  // namespace

UpstreamGate::UpstreamGate(Options options)
    : options(options), concurrency({.slots = options.slots}), queue({}) {}

std::vector<GateDecision> UpstreamGate::Offer(const GateRequest& request,
                                              Instant now) {
  std::vector<GateDecision> decisions;
  const Duration max_wait = request.max_wait.value_or(this->options.max_wait);
  const bool free = this->queue.size() == 0 &&
                    this->in_flight() < this->Limit() && this->MayStart(now);
  if (max_wait == Duration{} && !free) {
    decisions.push_back(
        Refuse(request.ticket, once::RefusalReason::kQueueFull));
    return decisions;
  }
  const Instant expires = std::min(request.deadline - this->LeastLatency(),
                                   now + std::max(max_wait, kLeastWait));
  if (expires <= now) {
    decisions.push_back(
        Refuse(request.ticket, once::RefusalReason::kQueueTimeout));
    return decisions;
  }
  const bool queued = now + this->ExpectedWait(request) < expires &&
                      this->queue.Push({.ticket = request.ticket,
                                        .organisation = FlowOf(request),
                                        .weight = WeightOf(request),
                                        .internal = request.internal,
                                        .expires = expires});
  if (!queued) {
    decisions.push_back(
        Refuse(request.ticket, once::RefusalReason::kQueueFull));
    return decisions;
  }
  this->waiting[request.ticket] = request.objective;
  this->StartWaiting(now, decisions);
  return decisions;
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
  const bool had_time = latency > this->UsualLatency() * kEnoughTimes;
  if (end == RunEnd::kSuccess) {
    this->NoteLatency(latency, objective);
    this->error_share *= 1 - kErrorWeight;
    this->concurrency.OnSuccess(latency, now);
    ++this->finished;
  } else if (end == RunEnd::kFailure || (end == RunEnd::kTimeout && had_time)) {
    this->NoteFailure(now);
  }
  this->StartWaiting(now, decisions);
  return decisions;
}

std::vector<GateDecision> UpstreamGate::Tick(Instant now) {
  std::vector<GateDecision> decisions;
  for (const TicketId ticket : this->queue.TakeExpired(now)) {
    this->waiting.erase(ticket);
    decisions.push_back(Refuse(ticket, once::RefusalReason::kQueueTimeout));
  }
  this->StartWaiting(now, decisions);
  return decisions;
}

std::vector<GateDecision> UpstreamGate::RefuseWaiting(
    once::RefusalReason reason) {
  std::vector<GateDecision> decisions;
  for (const TicketId ticket : this->queue.TakeAll()) {
    decisions.push_back(Refuse(ticket, reason));
  }
  this->waiting.clear();
  return decisions;
}

void UpstreamGate::Restart() {
  this->concurrency = ConcurrencyLimit({.slots = this->options.slots});
  this->latency_micros = 0;
  this->shortest_micros = 0;
  this->relative_latency = 0;
  this->error_share = 0;
  this->finished = 0;
}

// A hung upstream answers nothing, so the age of what it runs counts as
// latency too.
GateReport UpstreamGate::Report(Instant now) const {
  Duration oldest{};
  for (const auto& [ticket, each] : this->running) {
    oldest = std::max(oldest, now - each.since);
  }
  const bool by_rate =
      std::holds_alternative<WarmUpByRate>(this->options.warm_up);
  return {.in_flight = this->in_flight(),
          .queued = static_cast<int>(this->queue.size()),
          .limit = this->Limit(),
          .cold = !by_rate && this->concurrency.cold(),
          .latency = by_rate ? this->RelativeLatency()
                             : std::max(this->UsualLatency(), oldest),
          .error_share = this->error_share,
          .finished = this->finished};
}

void UpstreamGate::StartWaiting(Instant now,
                                std::vector<GateDecision>& decisions) {
  while (this->in_flight() < this->Limit() && this->MayStart(now)) {
    const std::optional<TicketId> next = this->queue.Pop(now);
    if (!next.has_value()) {
      return;
    }
    this->running[*next] = {.since = now, .objective = this->waiting[*next]};
    this->waiting.erase(*next);
    this->starts.push_back(now);
    decisions.push_back(StartTicket{.ticket = *next});
  }
}

void UpstreamGate::NoteFailure(Instant now) {
  this->error_share += kErrorWeight * (1 - this->error_share);
  this->concurrency.OnFailure(now);
  ++this->finished;
}

Duration UpstreamGate::UsualLatency() const {
  return Duration(static_cast<int64_t>(this->latency_micros));
}

// The usual time is no measure for what is hopeless: kinds of requests of one
// service differ, and calls that take a tenth of what others do were refused.
Duration UpstreamGate::LeastLatency() const {
  return Duration(static_cast<int64_t>(this->shortest_micros));
}

Duration UpstreamGate::ExpectedWait(const GateRequest& request) const {
  const double ahead = this->queue.Ahead({.organisation = FlowOf(request),
                                          .weight = WeightOf(request),
                                          .internal = request.internal});
  const double waves = ahead / this->Limit();
  return Duration(static_cast<int64_t>(waves * this->latency_micros));
}

int UpstreamGate::Limit() const {
  return std::holds_alternative<WarmUpByRate>(this->options.warm_up)
             ? this->options.slots
             : this->concurrency.limit();
}

bool UpstreamGate::MayStart(Instant now) {
  while (!this->starts.empty() && now - this->starts.front() >= kRateWindow) {
    this->starts.pop_front();
  }
  const auto* paced = std::get_if<WarmUpByRate>(&this->options.warm_up);
  return paced == nullptr || paced->rate <= 0 ||
         static_cast<double>(this->starts.size()) + 1 <= paced->rate;
}

// Requests of one service may differ much in the time they take, so upstreams
// are compared by how much of each request's objective was used.
Duration UpstreamGate::RelativeLatency() const {
  return Duration(static_cast<int64_t>(
      this->relative_latency * static_cast<double>(kRateWindow.count())));
}

void UpstreamGate::NoteLatency(Duration latency, Duration objective) {
  if (objective > Duration{}) {
    const double part = static_cast<double>(latency.count()) /
                        static_cast<double>(objective.count());
    this->relative_latency +=
        this->relative_latency == 0
            ? part
            : kLatencyWeight * (part - this->relative_latency);
  }
  const auto micros = static_cast<double>(latency.count());
  if (this->latency_micros == 0) {
    this->latency_micros = micros;
    this->shortest_micros = micros;
  }
  this->shortest_micros =
      std::min(micros, this->shortest_micros +
                           kShortestWeight * (micros - this->shortest_micros));
  this->latency_micros += kLatencyWeight * (micros - this->latency_micros);
}

}  // namespace kingcupstair::admission
