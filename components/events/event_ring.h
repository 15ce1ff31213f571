#ifndef COMPONENTS_EVENTS_EVENT_RING_H_
#define COMPONENTS_EVENTS_EVENT_RING_H_

#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "components/events/event.h"

namespace kingcupstair::events {

/// The last events of one process, a bounded number of them. Events that are
/// alike within a second are counted as one. Safe to use from several threads.
class EventRing {
 public:
  struct Options {
    std::string host;
    size_t capacity = 4096;
  };

  explicit EventRing(Options options);

  /// Adds an event; the ring sets its host and sequence.
  void Add(Event event);

  /// The events kept, oldest first.
  std::vector<Event> All() const;

 private:
  bool CountedWithRecent(const Event& event);

  Options options;
  mutable std::mutex mutex;
  std::deque<Event> ring;
  uint64_t last_sequence = 0;
};

}  // namespace kingcupstair::events

#endif  // COMPONENTS_EVENTS_EVENT_RING_H_
