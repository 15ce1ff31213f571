#include "components/admission/fair_queue.h"

#include <algorithm>
#include <cmath>

namespace kingcupstair::admission {
namespace {

constexpr double kLeastWeight = 1e-9;
/// Requests by which an organisation that used less than its part may catch up.
/// Small organisations' requests come unevenly, and without this they would
/// wait longer than those of large ones.
constexpr double kCatchUpRequests = 16;
/// Organisations kept in mind after their last request.
constexpr size_t kMaxIdleFlows = 1'000;

}  // namespace

FairQueue::FairQueue(Options options) : options(options) {}

bool FairQueue::Push(const QueuedRequest& request) {
  if (request.internal) {
    if (this->total >= this->options.max_total) {
      return false;
    }
    this->internal.push_back(request);
    ++this->total;
    return true;
  }
  Flow& flow = this->flows[request.organisation];
  if (flow.waiting.size() >= this->options.max_per_organisation ||
      this->total >= this->options.max_total) {
    return false;
  }
  flow.waiting.push_back(request);
  ++this->total;
  return true;
}

std::optional<TicketId> FairQueue::PopReady(std::deque<QueuedRequest>& waiting,
                                            Instant now) {
  const auto ready = std::find_if(
      waiting.begin(), waiting.end(),
      [&](const QueuedRequest& request) { return request.expires > now; });
  if (ready == waiting.end()) {
    return std::nullopt;
  }
  const TicketId ticket = ready->ticket;
  waiting.erase(ready);
  return ticket;
}

// Only what is served is counted as used: a request that gave up waiting must
// not put back the next ones of its organisation. One whose time is up is left
// for TakeExpired, which gives its refusal.
std::optional<TicketId> FairQueue::Pop(Instant now) {
  if (const auto ticket = PopReady(this->internal, now)) {
    --this->total;
    return ticket;
  }
  Flow* best = nullptr;
  std::deque<QueuedRequest>::iterator best_request;
  double best_finish = 0;
  for (auto& [organisation, flow] : this->flows) {
    const auto ready = std::find_if(
        flow.waiting.begin(), flow.waiting.end(),
        [&](const QueuedRequest& request) { return request.expires > now; });
    if (ready == flow.waiting.end()) {
      continue;
    }
    const double cost = CostOf(ready->weight);
    const double finish = this->StartOf(flow, cost) + cost;
    if (best == nullptr || finish < best_finish) {
      best = &flow;
      best_request = ready;
      best_finish = finish;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const TicketId ticket = best_request->ticket;
  best->used_until = best_finish;
  this->virtual_time =
      std::max(this->virtual_time, best_finish - CostOf(best_request->weight));
  best->waiting.erase(best_request);
  --this->total;
  this->DropIdle();
  return ticket;
}

std::vector<TicketId> FairQueue::TakeExpired(Instant now) {
  std::vector<TicketId> expired;
  const auto take = [&](const QueuedRequest& request) {
    if (request.expires > now) {
      return false;
    }
    expired.push_back(request.ticket);
    return true;
  };
  std::erase_if(this->internal, take);
  for (auto& [organisation, flow] : this->flows) {
    std::erase_if(flow.waiting, take);
  }
  this->total -= expired.size();
  return expired;
}

std::vector<TicketId> FairQueue::TakeAll() {
  return this->TakeExpired(Instant::max());
}

int FairQueue::Ahead(const QueuedRequest& request) const {
  const auto internal_ahead = static_cast<int>(this->internal.size());
  if (request.internal) {
    return internal_ahead;
  }
  const std::string& organisation = request.organisation;
  const double cost = CostOf(request.weight);
  const auto own = this->flows.find(organisation);
  const Flow none;
  const Flow& flow = own == this->flows.end() ? none : own->second;
  const auto own_ahead = static_cast<double>(flow.waiting.size());
  const double finish = this->StartOf(flow, cost) + (own_ahead + 1) * cost;
  double ahead = own_ahead;
  for (const auto& [other, each] : this->flows) {
    if (other == organisation || each.waiting.empty()) {
      continue;
    }
    const double other_cost = CostOf(each.waiting.front().weight);
    const double first =
        (finish - this->StartOf(each, other_cost)) / other_cost;
    ahead += std::clamp(std::floor(first), 0.0,
                        static_cast<double>(each.waiting.size()));
  }
  return internal_ahead + static_cast<int>(ahead);
}

double FairQueue::CostOf(double weight) {
  return 1 / std::max(weight, kLeastWeight);
}

double FairQueue::StartOf(const Flow& flow, double cost) const {
  return std::max(flow.used_until,
                  this->virtual_time - kCatchUpRequests * cost);
}

void FairQueue::DropIdle() {
  if (this->flows.size() < kMaxIdleFlows) {
    return;
  }
  std::erase_if(this->flows,
                [](const auto& entry) { return entry.second.waiting.empty(); });
}

}  // namespace kingcupstair::admission
