#include "components/events/timeline.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

#include "components/config/revision.h"

namespace kingcupstair::events {
namespace {

bool MatchesFilter(const Event& event, const TimelineFilter& filter) {
  const auto matches = [](const std::string& expected,
                          const std::string& value) {
    return expected.empty() || expected == value;
  };
  return event.at_ms >= filter.from_ms && event.at_ms <= filter.until_ms &&
         matches(filter.organisation, event.organisation) &&
         matches(filter.upstream, event.upstream) &&
         matches(filter.kind, event.kind);
}

}  // namespace

std::vector<Event> MergeTimeline(const std::vector<std::vector<Event>>& hosts,
                                 const TimelineFilter& filter) {
  std::vector<Event> merged;
  for (const std::vector<Event>& events : hosts) {
    int64_t latest = 0;
    for (Event event : events) {
      latest = std::max(latest, event.at_ms);
      event.at_ms = latest;
      if (MatchesFilter(event, filter)) {
        merged.push_back(std::move(event));
      }
    }
  }
  std::stable_sort(merged.begin(), merged.end(),
                   [](const Event& left, const Event& right) {
                     return left.at_ms < right.at_ms;
                   });
  return merged;
}

std::string ToText(const Event& event) {
  std::string line = absl::StrCat(
      absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ",
                       absl::FromUnixMillis(event.at_ms), absl::UTCTimeZone()),
      " ", event.host, " r", config::RevisionText(event.revision), " ",
      event.kind);
  const auto add = [&](const char* name, const std::string& value) {
    if (!value.empty()) {
      absl::StrAppend(&line, " ", name, "=", value);
    }
  };
  add("organisation", event.organisation);
  add("upstream", event.upstream);
  add("zone", event.zone);
  add("detail", event.detail);
  if (event.count > 1) {
    absl::StrAppend(&line, " count=", event.count);
  }
  return line;
}

}  // namespace kingcupstair::events
