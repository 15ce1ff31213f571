#include "components/admission/fair_queue.h"

#include <algorithm>

namespace kingcupstair::admission {
namespace {

constexpr double kLeastWeight = 1e-3;

}  // namespace

FairQueue::FairQueue(Options options) : options(options) {}

bool FairQueue::Push(const QueuedRequest& request) {
  Queue& queue = this->queues[request.organisation];
  if (queue.size() >= this->options.max_per_organisation ||
      this->total >= this->options.max_total) {
    this->DropEmpty();
    return false;
  }
  const double start = queue.empty()
                           ? this->virtual_time
                           : std::max(this->virtual_time, queue.back().finish);
  const double weight = std::max(request.weight, kLeastWeight);
  queue.push_back({.request = request, .finish = start + 1 / weight});
  ++this->total;
  return true;
}

// A request whose time is up is left for TakeExpired, which gives its refusal.
std::optional<TicketId> FairQueue::Pop(Instant now) {
  Queue* best_queue = nullptr;
  Queue::iterator best;
  for (auto& [organisation, queue] : this->queues) {
    const auto ready = std::find_if(
        queue.begin(), queue.end(),
        [&](const Waiting& waiting) { return waiting.request.expires > now; });
    if (ready != queue.end() &&
        (best_queue == nullptr || ready->finish < best->finish)) {
      best_queue = &queue;
      best = ready;
    }
  }
  if (best_queue == nullptr) {
    return std::nullopt;
  }
  const TicketId ticket = best->request.ticket;
  this->virtual_time = std::max(this->virtual_time, best->finish);
  best_queue->erase(best);
  --this->total;
  this->DropEmpty();
  return ticket;
}

std::vector<TicketId> FairQueue::TakeExpired(Instant now) {
  std::vector<TicketId> expired;
  for (auto& [organisation, queue] : this->queues) {
    std::erase_if(queue, [&](const Waiting& waiting) {
      if (waiting.request.expires > now) {
        return false;
      }
      expired.push_back(waiting.request.ticket);
      return true;
    });
  }
  this->total -= expired.size();
  this->DropEmpty();
  return expired;
}

std::vector<TicketId> FairQueue::TakeAll() {
  return this->TakeExpired(Instant::max());
}

bool FairQueue::Remove(TicketId ticket) {
  for (auto& [organisation, queue] : this->queues) {
    const size_t removed = std::erase_if(queue, [&](const Waiting& waiting) {
      return waiting.request.ticket == ticket;
    });
    if (removed > 0) {
      --this->total;
      this->DropEmpty();
      return true;
    }
  }
  return false;
}

double FairQueue::Ahead(const std::string& organisation, double weight) const {
  const auto own = this->queues.find(organisation);
  const double own_ahead =
      own == this->queues.end() ? 0 : static_cast<double>(own->second.size());
  double ahead = own_ahead;
  for (const auto& [other, queue] : this->queues) {
    if (other != organisation) {
      const double turns = (own_ahead + 1) * queue.back().request.weight /
                           std::max(weight, kLeastWeight);
      ahead += std::min(turns, static_cast<double>(queue.size()));
    }
  }
  return ahead;
}

void FairQueue::DropEmpty() {
  std::erase_if(this->queues,
                [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace kingcupstair::admission
