#ifndef COMPONENTS_EVENTS_RECORDER_H_
#define COMPONENTS_EVENTS_RECORDER_H_

#include <functional>
#include <string>

#include "components/events/event_ring.h"
#include "components/metrics/counters.h"

namespace kingcupstair::events {

/// Records events in the time line, the counters and the log, and stamps each
/// event with the time and the revision of the active configuration.
class Recorder {
 public:
  struct Options {
    std::string host;
    /// Returns the revision of the active configuration.
    std::function<uint64_t()> revision;
  };

  explicit Recorder(Options options);

  /// Stamps an event, counts it by kind, logs it and adds it to the ring.
  /// Events about a single request are not logged.
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
