#include "components/admission/upstream_gate.h"

#include <algorithm>

namespace kingcupstair::admission {
namespace {

constexpr double kLatencyWeight = 0.25;
constexpr double kErrorWeight = 0.2;
/// A request that had this many times the usual latency had enough time.
constexpr int kEnoughTimes = 3;
constexpr Duration kRetryWhenFull{std::chrono::seconds(1)};

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
  const Instant expires = std::min(request.deadline - this->UsualLatency(),
                                   now + this->options.max_wait);
  if (expires <= now) {
    decisions.push_back(
        Refuse(request.ticket, once::RefusalReason::kQueueTimeout));
    return decisions;
  }
  const bool queued = now + this->ExpectedWait(request) < expires &&
                      this->queue.Push({.ticket = request.ticket,
                                        .organisation = request.organisation,
                                        .weight = request.weight,
                                        .expires = expires});
  if (!queued) {
    decisions.push_back(
        Refuse(request.ticket, once::RefusalReason::kQueueFull));
    return decisions;
  }
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
  const Duration latency = now - found->second;
  this->running.erase(found);
  const bool had_time = latency > this->UsualLatency() * kEnoughTimes;
  if (end == RunEnd::kSuccess) {
    this->NoteLatency(latency);
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
  return decisions;
}

void UpstreamGate::Restart() {
  this->concurrency = ConcurrencyLimit({.slots = this->options.slots});
  this->latency_micros = 0;
  this->error_share = 0;
  this->finished = 0;
}

// A hung upstream answers nothing, so the age of what it runs counts as
// latency too.
GateReport UpstreamGate::Report(Instant now) const {
  Duration oldest{};
  for (const auto& [ticket, started] : this->running) {
    oldest = std::max(oldest, now - started);
  }
  return {.in_flight = this->in_flight(),
          .queued = static_cast<int>(this->queue.size()),
          .limit = this->concurrency.limit(),
          .cold = this->concurrency.cold(),
          .latency = std::max(this->UsualLatency(), oldest),
          .error_share = this->error_share,
          .finished = this->finished};
}

void UpstreamGate::StartWaiting(Instant now,
                                std::vector<GateDecision>& decisions) {
  while (this->in_flight() < this->concurrency.limit()) {
    const std::optional<TicketId> next = this->queue.Pop(now);
    if (!next.has_value()) {
      return;
    }
    this->running[*next] = now;
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

Duration UpstreamGate::ExpectedWait(const GateRequest& request) const {
  const double ahead = this->queue.Ahead(request.organisation, request.weight);
  const double waves = ahead / this->concurrency.limit();
  return Duration(static_cast<int64_t>(waves * this->latency_micros));
}

void UpstreamGate::NoteLatency(Duration latency) {
  const auto micros = static_cast<double>(latency.count());
  if (this->latency_micros == 0) {
    this->latency_micros = micros;
  }
  this->latency_micros += kLatencyWeight * (micros - this->latency_micros);
}

}  // namespace kingcupstair::admission
