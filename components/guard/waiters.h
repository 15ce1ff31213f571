#ifndef COMPONENTS_GUARD_WAITERS_H_
#define COMPONENTS_GUARD_WAITERS_H_

#include <utility>

#include <boost/fiber/future.hpp>

#include <map>
#include <memory>
#include <vector>

#include "components/admission/upstream_gate.h"

namespace kingcupstair::guard {

using DecisionPromise = boost::fibers::promise<admission::GateDecision>;
using DecisionFuture = boost::fibers::future<admission::GateDecision>;

/// Decisions to hand to waiting fibers when this object is destroyed. Functions
/// declare the object before they take the lock, so that the fibers are woken
/// after the lock is released: waking may suspend the calling fiber, and a
/// suspended fiber must not hold the lock.
class DeferredWakeups {
 public:
  DeferredWakeups() = default;
  ~DeferredWakeups();
  DeferredWakeups(const DeferredWakeups&) = delete;
  DeferredWakeups& operator=(const DeferredWakeups&) = delete;

  /// Adds a fiber that waits for `promise`, and the decision for it.
  void Add(std::shared_ptr<DecisionPromise> promise,
           const admission::GateDecision& decision);

 private:
  struct Pending {
    std::shared_ptr<DecisionPromise> promise;
    admission::GateDecision decision;
  };

  std::vector<Pending> pending;
};

/// Fibers that wait for a decision of an admission gate, by ticket. Not
/// thread-safe; the user holds a lock.
class Waiters {
 public:
  /// Registers a waiter and returns the future of the decision on `ticket`.
  DecisionFuture Register(admission::TicketId ticket);

  /// Moves the waiters of `decisions` to `wakeups`, which wakes them later.
  /// Decisions without a waiter are dropped.
  void Dispatch(const std::vector<admission::GateDecision>& decisions,
                DeferredWakeups& wakeups);

 private:
  std::map<admission::TicketId, std::shared_ptr<DecisionPromise>> promises;
};

}  // namespace kingcupstair::guard

#endif  // COMPONENTS_GUARD_WAITERS_H_
