#ifndef COMPONENTS_EVENTS_TIMELINE_H_
#define COMPONENTS_EVENTS_TIMELINE_H_

#include <string>
#include <vector>

#include "components/events/event.h"

namespace kingcupstair::events {

/// Which events of a time line to show; empty fields match all.
struct TimelineFilter {
  int64_t from_ms = 0;
  int64_t until_ms = INT64_MAX;
  std::string organisation;
  std::string upstream;
  std::string kind;

  bool operator==(const TimelineFilter&) const = default;
};

/// The events of all hosts that pass the filter, in order of time. Events of
/// one host keep their own order even where its clock stepped back.
std::vector<Event> MergeTimeline(const std::vector<std::vector<Event>>& hosts,
                                 const TimelineFilter& filter);

/// One line for people.
std::string ToText(const Event& event);

}  // namespace kingcupstair::events

#endif  // COMPONENTS_EVENTS_TIMELINE_H_
