#ifndef COMPONENTS_EVENTS_EVENT_H_
#define COMPONENTS_EVENTS_EVENT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace kingcupstair::events {

/// An occurrence at one host, for the time line of all hosts.
struct Event {
  /// Wall-clock time in milliseconds since the Unix epoch.
  int64_t at_ms = 0;
  std::string host;
  /// Number of the event within its process, starting at 1.
  uint64_t sequence = 0;
  /// Type of the event in one word, such as "ejected".
  std::string kind;
  std::string organisation;
  std::string upstream;
  std::string zone;
  /// Revision of the active configuration at that time.
  uint64_t revision = 0;
  std::string detail;
  /// Number of events of the same content within one second that were merged
  /// into this event, itself included.
  uint64_t count = 1;

  bool operator==(const Event&) const = default;
};

/// Returns the event as one line of JSON. Invalid UTF-8 is replaced.
std::string EncodeEvent(const Event& event);

/// Parses a line that EncodeEvent wrote. Returns DataLoss if the line is not a
/// JSON object or a field is missing or of another type.
absl::StatusOr<Event> DecodeEvent(std::string_view line);

}  // namespace kingcupstair::events

#endif  // COMPONENTS_EVENTS_EVENT_H_
