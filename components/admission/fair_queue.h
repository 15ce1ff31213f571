#ifndef COMPONENTS_ADMISSION_FAIR_QUEUE_H_
#define COMPONENTS_ADMISSION_FAIR_QUEUE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "components/base/time.h"

namespace kingcupstair::admission {

/// Names a request that waits or runs at one upstream's gate.
using TicketId = uint64_t;

/// Requests waiting for one upstream, a queue an organisation, served in turn.
/// All requests count as one unit, so turns are single requests.
class FairQueue {
 public:
  struct Options {
    /// Requests of one organisation that may wait.
    size_t max_per_organisation = 64;
    /// Requests that may wait in all.
    size_t max_total = 512;
  };

  explicit FairQueue(Options options);

  /// Adds a request that waits until `expires`; false when there is no room.
  bool Push(TicketId ticket, const std::string& organisation, Instant expires);

  /// Takes the next request in turn whose time is not up.
  std::optional<TicketId> Pop(Instant now);

  /// Takes out the requests whose time is up.
  std::vector<TicketId> TakeExpired(Instant now);

  /// Takes out everything.
  std::vector<TicketId> TakeAll();

  /// Takes out one request; false when it does not wait here.
  bool Remove(TicketId ticket);

  size_t size() const { return this->total; }

 private:
  struct Waiting {
    TicketId ticket = 0;
    Instant expires;
  };
  using Queue = std::deque<Waiting>;

  void DropEmpty();

  Options options;
  std::map<std::string, Queue> queues;
  /// Organisations with requests waiting, the next one to be served first.
  std::list<std::string> turns;
  size_t total = 0;
};

}  // namespace kingcupstair::admission

#endif  // COMPONENTS_ADMISSION_FAIR_QUEUE_H_
