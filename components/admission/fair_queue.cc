#include "components/admission/fair_queue.h"

#include <algorithm>

namespace kingcupstair::admission {

FairQueue::FairQueue(Options options) : options(options) {}

bool FairQueue::Push(TicketId ticket,
                     const std::string& organisation,
                     Instant expires) {
  Queue& queue = this->queues[organisation];
  if (queue.size() >= this->options.max_per_organisation ||
      this->total >= this->options.max_total) {
    this->DropEmpty();
    return false;
  }
  if (queue.empty()) {
    this->turns.push_back(organisation);
  }
  queue.push_back({.ticket = ticket, .expires = expires});
  ++this->total;
  return true;
}

// A request whose time is up is left for TakeExpired, which gives its refusal.
std::optional<TicketId> FairQueue::Pop(Instant now) {
  for (size_t tries = this->turns.size(); tries > 0; --tries) {
    const std::string organisation = this->turns.front();
    this->turns.pop_front();
    Queue& queue = this->queues[organisation];
    const auto ready = std::find_if(
        queue.begin(), queue.end(),
        [&](const Waiting& waiting) { return waiting.expires > now; });
    if (ready == queue.end()) {
      this->turns.push_back(organisation);
      continue;
    }
    const TicketId ticket = ready->ticket;
    queue.erase(ready);
    --this->total;
    if (!queue.empty()) {
      this->turns.push_back(organisation);
    }
    this->DropEmpty();
    return ticket;
  }
  return std::nullopt;
}

std::vector<TicketId> FairQueue::TakeExpired(Instant now) {
  std::vector<TicketId> expired;
  for (auto& [organisation, queue] : this->queues) {
    std::erase_if(queue, [&](const Waiting& waiting) {
      if (waiting.expires > now) {
        return false;
      }
      expired.push_back(waiting.ticket);
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
      return waiting.ticket == ticket;
    });
    if (removed > 0) {
      --this->total;
      this->DropEmpty();
      return true;
    }
  }
  return false;
}

void FairQueue::DropEmpty() {
  std::erase_if(this->queues,
                [](const auto& entry) { return entry.second.empty(); });
  std::erase_if(this->turns, [&](const std::string& organisation) {
    return !this->queues.contains(organisation);
  });
}

}  // namespace kingcupstair::admission
