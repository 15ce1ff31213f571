#include "components/guard/waiters.h"

namespace kingcupstair::guard {

DeferredWakeups::~DeferredWakeups() {
  for (Pending& each : this->pending) {
    each.promise->set_value(each.decision);
  }
}

void DeferredWakeups::Add(std::shared_ptr<DecisionPromise> promise,
                          const admission::GateDecision& decision) {
  this->pending.push_back(
      {.promise = std::move(promise), .decision = decision});
}

DecisionFuture Waiters::Register(admission::TicketId ticket) {
  auto promise = std::make_shared<DecisionPromise>();
  DecisionFuture future = promise->get_future();
  this->promises[ticket] = std::move(promise);
  return future;
}

void Waiters::Dispatch(const std::vector<admission::GateDecision>& decisions,
                       DeferredWakeups& wakeups) {
  for (const admission::GateDecision& decision : decisions) {
    const auto ticket =
        std::visit([](const auto& each) { return each.ticket; }, decision);
    const auto found = this->promises.find(ticket);
    if (found != this->promises.end()) {
      wakeups.Add(found->second, decision);
      this->promises.erase(found);
    }
  }
}

}  // namespace kingcupstair::guard
