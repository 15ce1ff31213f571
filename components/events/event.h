#ifndef COMPONENTS_EVENTS_EVENT_H_
#define COMPONENTS_EVENTS_EVENT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace kingcupstair::events {

/// Something that happened at one host, for the time line over all hosts.
struct Event {
  /// Wall-clock time in milliseconds since the Unix epoch.
  int64_t at_ms = 0;
  std::string host;
  /// Counts the events of one process from 1.
  uint64_t sequence = 0;
  /// What happened, one word such as "ejected".
  std::string kind;
  std::string organisation;
  std::string upstream;
  std::string zone;
  /// Configuration in force at the time.
  uint64_t revision = 0;
  std::string detail;
  /// How many like this one came within a second and were put together.
  uint64_t count = 1;

  bool operator==(const Event&) const = default;
};

std::string EncodeEvent(const Event& event);
absl::StatusOr<Event> DecodeEvent(std::string_view line);

}  // namespace kingcupstair::events

#endif  // COMPONENTS_EVENTS_EVENT_H_
