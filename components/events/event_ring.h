#ifndef COMPONENTS_EVENTS_EVENT_RING_H_
#define COMPONENTS_EVENTS_EVENT_RING_H_

#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "components/events/event.h"

namespace kingcupstair::events {

/// Bounded buffer of the latest events of one process. An event less than a
/// second after an event with the same kind, organisation, upstream, zone,
/// revision and detail is merged into that event and only counted. Safe to use
/// from several threads.
class EventRing {
 public:
  struct Options {
    std::string host;
    /// Maximum number of events kept.
    size_t capacity = 4096;
  };

  explicit EventRing(Options options);

  /// Adds an event and sets its host and sequence.
  void Add(Event event);

  /// Returns the events kept, oldest first.
  std::vector<Event> All() const;

 private:
  /// Counts `event` at a recent event of the same content. Returns false if
  /// there is none.
  bool MergeIntoRecent(const Event& event);

  Options options;
  mutable std::mutex mutex;
  std::deque<Event> ring;
  uint64_t last_sequence = 0;
};

}  // namespace kingcupstair::events

#endif  // COMPONENTS_EVENTS_EVENT_RING_H_
