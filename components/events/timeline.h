#ifndef COMPONENTS_EVENTS_TIMELINE_H_
#define COMPONENTS_EVENTS_TIMELINE_H_

#include <string>
#include <vector>

#include "components/events/event.h"

namespace kingcupstair::events {

/// Selects the events of a time line. Empty fields match all events.
struct TimelineFilter {
  /// First and last time to show, in milliseconds since the Unix epoch.
  int64_t from_ms = 0;
  int64_t until_ms = INT64_MAX;
  std::string organisation;
  std::string upstream;
  std::string kind;

  bool operator==(const TimelineFilter&) const = default;
};

/// Returns the events of all hosts that match the filter, in order of time.
/// Events of one host keep their order if its clock stepped back: an event gets
/// the latest time among the events of that host up to it.
std::vector<Event> MergeTimeline(const std::vector<std::vector<Event>>& hosts,
                                 const TimelineFilter& filter);

/// Returns the event as one line of readable text.
std::string ToText(const Event& event);

}  // namespace kingcupstair::events

#endif  // COMPONENTS_EVENTS_TIMELINE_H_
