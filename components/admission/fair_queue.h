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

/// Identifies a request that waits or runs at one upstream's admission gate.
using TicketId = uint64_t;

/// A request that waits for a slot.
struct QueuedRequest {
  TicketId ticket = 0;
  std::string organisation;
  /// Share of the slots relative to the weights of other organisations; above
  /// 0.
  double weight = 1;
  /// Set for a request made on behalf of another request that already occupies
  /// a slot of another upstream. Most internal requests start before others.
  bool internal = false;
  /// Expected work in seconds; 1 for each request if fairness is by count.
  double work = 1;
  /// When the request stops waiting.
  Instant expires;
  /// From this time on the request can only end late. It then starts only if no
  /// other request can start.
  Instant late_from = Instant::max();

  bool operator==(const QueuedRequest&) const = default;
};

/// Weighted fair queue of the requests that wait for one upstream, with one
/// flow for each organisation. Waiting organisations get slots in proportion to
/// their weights, however many requests they send. An organisation that has
/// used less than its share may catch up by a few requests. Internal requests
/// start first, but don't starve the others.
class FairQueue {
 public:
  struct Options {
    /// Maximum number of waiting requests of one organisation.
    size_t max_per_organisation = 64;
    /// Maximum number of waiting requests of all organisations together.
    size_t max_total = 512;
  };

  explicit FairQueue(Options options);

  /// Adds a request. Returns false if the queue is full.
  bool Push(const QueuedRequest& request);

  /// Removes and returns the next request that has not expired, or nothing.
  /// Requests that can only end late come after all others.
  std::optional<TicketId> Pop(Instant now);

  /// Removes and returns the expired requests.
  std::vector<TicketId> RemoveExpired(Instant now);

  /// Removes and returns all requests.
  std::vector<TicketId> RemoveAll();

  /// Returns how many waiting requests would be served before `request` if
  /// `request` were added now.
  int CountAhead(const QueuedRequest& request) const;

  /// Returns the work of the waiting requests that would be served before
  /// `request` if `request` were added now.
  double WorkAhead(const QueuedRequest& request) const;

  /// Returns the work of the waiting requests of the flow of `request`.
  double WorkOfFlow(const QueuedRequest& request) const;

  /// Returns the work of all waiting requests.
  double TotalWork() const;

  /// Corrects the service that the flow of `request` has received by work that
  /// was not expected, or by expected work that was not needed.
  void Charge(const QueuedRequest& request, double work);

  /// Returns the waiting requests in the order in which they are served.
  std::vector<QueuedRequest> InOrder(Instant now) const;

  /// Removes a waiting request. Returns false if it is not waiting.
  bool Remove(TicketId ticket);

  size_t size() const { return this->total; }

 private:
  /// Waiting requests of one organisation and the service that the
  /// organisation has received.
  struct Flow {
    std::deque<QueuedRequest> waiting;
    /// Virtual time at which the last served request of the flow finished.
    double virtual_finish = 0;
  };

  /// Selects requests that may start.
  struct Startable {
    Instant now;
    bool late_too = false;

    bool operator()(const QueuedRequest& request) const {
      return request.expires > this->now &&
             (this->late_too || request.late_from > this->now);
    }
  };

  static double VirtualCost(const QueuedRequest& request);
  double VirtualStart(const Flow& flow, double cost) const;
  void EraseIdleFlows();

  std::optional<QueuedRequest> PopWhere(const Startable& startable);
  /// Removes and returns the next request that is not internal.
  std::optional<QueuedRequest> PopFromFlows(const Startable& startable);
  static std::optional<QueuedRequest> PopFrom(
      std::deque<QueuedRequest>& waiting,
      const Startable& startable);

  Options options;
  std::deque<QueuedRequest> internal;
  /// Internal requests started in a row. Counted anew once others have had
  /// their turn, whether or not one was waiting.
  int internal_in_row = 0;
  std::map<std::string, Flow> flows;
  /// Virtual time of the queue. It advances as requests are served, and more
  /// slowly the more organisations wait.
  double virtual_time = 0;
  size_t total = 0;
};

}  // namespace kingcupstair::admission

#endif  // COMPONENTS_ADMISSION_FAIR_QUEUE_H_
