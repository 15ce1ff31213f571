#ifndef COMPONENTS_ADMISSION_FAIR_QUEUE_H_
#define COMPONENTS_ADMISSION_FAIR_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "components/base/time.h"

namespace kingcupstair::admission {

/// Names a request that waits or runs at one upstream's gate.
using TicketId = uint64_t;

/// A request that waits for a slot.
struct QueuedRequest {
  TicketId ticket = 0;
  std::string organisation;
  /// The organisation's share of the slots against others', above 0.
  double weight = 1;
  /// It is part of a request that holds a slot elsewhere; goes before all that
  /// is not.
  bool internal = false;
  Instant expires;

  bool operator==(const QueuedRequest&) const = default;
};

/// Requests waiting for one upstream, a queue an organisation. Organisations
/// that wait get slots in proportion to their weights, whatever they send; one
/// that has used less than its part may catch up by a few requests.
class FairQueue {
 public:
  struct Options {
    /// Requests of one organisation that may wait.
    size_t max_per_organisation = 64;
    /// Requests that may wait in all.
    size_t max_total = 512;
  };

  explicit FairQueue(Options options);

  /// Adds a request; false when there is no room.
  bool Push(const QueuedRequest& request);

  /// Takes the next request whose time is not up.
  std::optional<TicketId> Pop(Instant now);

  /// Takes out the requests whose time is up.
  std::vector<TicketId> TakeExpired(Instant now);

  /// Takes out everything.
  std::vector<TicketId> TakeAll();

  /// Requests that would be served before this one if it were added now.
  int Ahead(const QueuedRequest& request) const;

  size_t size() const { return this->total; }

 private:
  /// The requests of one organisation that wait, and what it has used.
  struct Flow {
    std::deque<QueuedRequest> waiting;
    /// Virtual time at which its last served request was through.
    double used_until = 0;
  };

  static double CostOf(double weight);
  double StartOf(const Flow& flow, double cost) const;
  void DropIdle();

  static std::optional<TicketId> PopReady(std::deque<QueuedRequest>& waiting,
                                          Instant now);

  Options options;
  std::deque<QueuedRequest> internal;
  std::map<std::string, Flow> flows;
  /// Advances as requests are served, the slower the more organisations wait.
  double virtual_time = 0;
  size_t total = 0;
};

}  // namespace kingcupstair::admission

#endif  // COMPONENTS_ADMISSION_FAIR_QUEUE_H_
