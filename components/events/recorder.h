#ifndef COMPONENTS_EVENTS_RECORDER_H_
#define COMPONENTS_EVENTS_RECORDER_H_

#include <functional>
#include <string>

#include "components/events/event_ring.h"
#include "components/metrics/counters.h"

namespace kingcupstair::events {

/// Writes what happens to the time line and the counters, stamped with the
/// time and the configuration in force.
class Recorder {
 public:
  struct Options {
    std::string host;
    std::function<uint64_t()> revision;
  };

  explicit Recorder(Options options);

  /// Adds an event and counts it by kind.
  void Record(Event event);

  EventRing& ring() { return this->events; }
  metrics::Counters& counters() { return this->counts; }

 private:
  Options options;
  EventRing events;
  metrics::Counters counts;
};

}  // namespace kingcupstair::events

#endif  // COMPONENTS_EVENTS_RECORDER_H_
