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

/// Fibers to wake when this object ends. It stands before the lock in a
/// function, so they are woken once the lock is free: waking may suspend the
/// caller, and a fiber that is suspended must not hold the lock.
class Wakes {
 public:
  Wakes() = default;
  ~Wakes();
  Wakes(const Wakes&) = delete;
  Wakes& operator=(const Wakes&) = delete;

  void Add(std::shared_ptr<DecisionPromise> promise,
           const admission::GateDecision& decision);

 private:
  struct Pending {
    std::shared_ptr<DecisionPromise> promise;
    admission::GateDecision decision;
  };

  std::vector<Pending> pending;
};

/// The fibers that wait for a gate's decision, by ticket. Used under a lock.
class Waiters {
 public:
  /// The decision on `ticket`, once it is made.
  DecisionFuture Expect(admission::TicketId ticket);

  /// Hands decisions to the fibers that wait for them.
  void Dispatch(const std::vector<admission::GateDecision>& decisions,
                Wakes& wakes);

 private:
  std::map<admission::TicketId, std::shared_ptr<DecisionPromise>> promises;
};

}  // namespace kingcupstair::guard

#endif  // COMPONENTS_GUARD_WAITERS_H_
