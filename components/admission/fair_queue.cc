#include "components/admission/fair_queue.h"

#include <algorithm>
#include <cmath>

namespace kingcupstair::admission {
namespace {

constexpr double kMinWeight = 1e-9;
/// Requests by which an organisation that used less than its share may catch
/// up. Requests of small organisations arrive unevenly and would otherwise wait
/// longer than those of large organisations.
constexpr double kMaxCatchUpRequests = 16;
/// Internal requests started in a row before a waiting request of a caller has
/// its turn. An internal request that is refused costs the work done for its
/// caller's request, so most slots go to them.
constexpr int kMaxInternalInRow = 7;
/// When the queue has this many flows, those without waiting requests are
/// erased.
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

std::optional<QueuedRequest> FairQueue::PopFrom(
    std::deque<QueuedRequest>& waiting,
    const Startable& startable) {
  const auto ready = std::find_if(waiting.begin(), waiting.end(), startable);
  if (ready == waiting.end()) {
    return std::nullopt;
  }
  const QueuedRequest request = *ready;
  waiting.erase(ready);
  return request;
}

std::optional<TicketId> FairQueue::Pop(Instant now) {
  auto request = this->PopWhere({.now = now});
  if (!request.has_value()) {
    request = this->PopWhere({.now = now, .late_too = true});
  }
  return request.has_value() ? std::optional(request->ticket) : std::nullopt;
}

// Only served requests advance the virtual finish time of a flow: a request
// that expired while waiting must not delay the next requests of its
// organisation. Expired requests stay in the queue until RemoveExpired returns
// them to be refused.
std::optional<QueuedRequest> FairQueue::PopWhere(const Startable& startable) {
  const bool callers_turn = this->internal_in_row >= kMaxInternalInRow;
  if (callers_turn) {
    if (const auto request = this->PopFromFlows(startable)) {
      return request;
    }
  }
  if (const auto request = PopFrom(this->internal, startable)) {
    this->internal_in_row = callers_turn ? 1 : this->internal_in_row + 1;
    --this->total;
    return request;
  }
  return this->PopFromFlows(startable);
}

std::optional<QueuedRequest> FairQueue::PopFromFlows(
    const Startable& startable) {
  Flow* best = nullptr;
  std::deque<QueuedRequest>::iterator best_request;
  double best_finish = 0;
  for (auto& [organisation, flow] : this->flows) {
    const auto ready =
        std::find_if(flow.waiting.begin(), flow.waiting.end(), startable);
    if (ready == flow.waiting.end()) {
      continue;
    }
    const double cost = VirtualCost(*ready);
    const double finish = this->VirtualStart(flow, cost) + cost;
    if (best == nullptr || finish < best_finish) {
      best = &flow;
      best_request = ready;
      best_finish = finish;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const QueuedRequest request = *best_request;
  best->virtual_finish = best_finish;
  this->virtual_time =
      std::max(this->virtual_time, best_finish - VirtualCost(request));
  best->waiting.erase(best_request);
  this->internal_in_row = 0;
  --this->total;
  this->EraseIdleFlows();
  return request;
}

std::vector<TicketId> FairQueue::RemoveExpired(Instant now) {
  std::vector<TicketId> expired;
  const auto collect_if_expired = [&](const QueuedRequest& request) {
    if (request.expires > now) {
      return false;
    }
    expired.push_back(request.ticket);
    return true;
  };
  std::erase_if(this->internal, collect_if_expired);
  for (auto& [organisation, flow] : this->flows) {
    std::erase_if(flow.waiting, collect_if_expired);
  }
  this->total -= expired.size();
  return expired;
}

std::vector<TicketId> FairQueue::RemoveAll() {
  return this->RemoveExpired(Instant::max());
}

int FairQueue::CountAhead(const QueuedRequest& request) const {
  if (request.internal) {
    return static_cast<int>(this->internal.size());
  }
  const std::string& organisation = request.organisation;
  const double cost = VirtualCost(request);
  const auto own_flow = this->flows.find(organisation);
  const Flow empty_flow;
  const Flow& flow =
      own_flow == this->flows.end() ? empty_flow : own_flow->second;
  const auto own_ahead = static_cast<double>(flow.waiting.size());
  const double finish = this->VirtualStart(flow, cost) + (own_ahead + 1) * cost;
  double ahead = own_ahead;
  for (const auto& [other, other_flow] : this->flows) {
    if (other == organisation || other_flow.waiting.empty()) {
      continue;
    }
    const double other_cost = VirtualCost(other_flow.waiting.front());
    const double served_before =
        (finish - this->VirtualStart(other_flow, other_cost)) / other_cost;
    ahead += std::clamp(std::floor(served_before), 0.0,
                        static_cast<double>(other_flow.waiting.size()));
  }
  const double internal_ahead =
      std::min(static_cast<double>(this->internal.size()),
               (std::floor(ahead) + 1) * kMaxInternalInRow);
  return static_cast<int>(internal_ahead + ahead);
}

double FairQueue::WorkAhead(const QueuedRequest& request) const {
  double internal_work = 0;
  for (const QueuedRequest& each : this->internal) {
    internal_work += each.work;
  }
  if (request.internal) {
    return internal_work;
  }
  const auto own = this->flows.find(request.organisation);
  const Flow empty_flow;
  const Flow& flow = own == this->flows.end() ? empty_flow : own->second;
  const double cost = VirtualCost(request);
  double finish = this->VirtualStart(flow, cost) + cost;
  double ahead = 0;
  for (const QueuedRequest& each : flow.waiting) {
    finish += VirtualCost(each);
    ahead += each.work;
  }
  for (const auto& [organisation, other] : this->flows) {
    if (&other == &flow || other.waiting.empty()) {
      continue;
    }
    double other_finish =
        this->VirtualStart(other, VirtualCost(other.waiting.front()));
    for (const QueuedRequest& each : other.waiting) {
      other_finish += VirtualCost(each);
      if (other_finish > finish) {
        break;
      }
      ahead += each.work;
    }
  }
  return internal_work + ahead;
}

double FairQueue::WorkOfFlow(const QueuedRequest& request) const {
  const auto flow = this->flows.find(request.organisation);
  double work = 0;
  if (!request.internal && flow != this->flows.end()) {
    for (const QueuedRequest& each : flow->second.waiting) {
      work += each.work;
    }
  }
  return work;
}

double FairQueue::TotalWork() const {
  double work = 0;
  for (const QueuedRequest& each : this->internal) {
    work += each.work;
  }
  for (const auto& [organisation, flow] : this->flows) {
    for (const QueuedRequest& each : flow.waiting) {
      work += each.work;
    }
  }
  return work;
}

void FairQueue::Charge(const QueuedRequest& request, double work) {
  const auto flow = this->flows.find(request.organisation);
  if (!request.internal && flow != this->flows.end()) {
    flow->second.virtual_finish += work / std::max(request.weight, kMinWeight);
  }
}

std::vector<QueuedRequest> FairQueue::InOrder(Instant now) const {
  std::vector<QueuedRequest> order;
  FairQueue copy = *this;
  for (const bool late_too : {false, true}) {
    while (const auto next =
               copy.PopWhere({.now = now, .late_too = late_too})) {
      order.push_back(*next);
    }
  }
  return order;
}

bool FairQueue::Remove(TicketId ticket) {
  const auto matches = [&](const QueuedRequest& request) {
    return request.ticket == ticket;
  };
  size_t removed = std::erase_if(this->internal, matches);
  for (auto& [organisation, flow] : this->flows) {
    removed += std::erase_if(flow.waiting, matches);
  }
  this->total -= removed;
  return removed > 0;
}

double FairQueue::VirtualCost(const QueuedRequest& request) {
  return request.work / std::max(request.weight, kMinWeight);
}

double FairQueue::VirtualStart(const Flow& flow, double cost) const {
  return std::max(flow.virtual_finish,
                  this->virtual_time - kMaxCatchUpRequests * cost);
}

void FairQueue::EraseIdleFlows() {
  if (this->flows.size() < kMaxIdleFlows) {
    return;
  }
  std::erase_if(this->flows,
                [](const auto& entry) { return entry.second.waiting.empty(); });
}

}  // namespace kingcupstair::admission
