#ifndef COMPONENTS_GUARD_ANNOUNCEMENT_H_
#define COMPONENTS_GUARD_ANNOUNCEMENT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "components/base/endpoint.h"

namespace kingcupstair::guard {

/// Announcement that an upstream sends to the process on its host, repeatedly
/// while the upstream runs.
struct Announcement {
  std::string id;
  std::string service;
  /// Version of the program that the upstream runs; may be empty.
  std::string version;
  Endpoint endpoint;
  /// Identifies one start of the upstream.
  std::string incarnation;
  /// Number that increases with each start at the same endpoint; 0 if the
  /// upstream doesn't send a number. Announcements of an earlier start are
  /// ignored.
  uint64_t started_at = 0;
  /// Number that increases with each announcement of one start; 0 if the
  /// upstream doesn't send a number.
  uint64_t sequence = 0;
  /// Set if the upstream itself reports when it is cold; see
  /// admission::RateLimitedWarmUp.
  bool reports_cold_state = false;
  /// Set while the upstream reports that it is cold.
  bool cold = false;
  /// Requests that the upstream can run at once; 0 for the number in the
  /// configuration.
  int slots = 0;
  /// Set while the upstream finishes its running requests and takes no new
  /// ones.
  bool draining = false;

  bool operator==(const Announcement&) const = default;
};

/// Returns whether `id` can be the id of an upstream: it is a part of a path,
/// the value of a header field and a part of the name of a departure.
bool IsUpstreamId(std::string_view id);

/// Returns whether `text` can name one start of an upstream.
bool IsIncarnation(std::string_view text);

/// Returns an error if an id or a name of an announcement is not one.
absl::Status CheckNames(const Announcement& announcement);

/// Parses the JSON body of an announcement. Returns an error if the body is not
/// a JSON object or a required field is missing or invalid.
absl::StatusOr<Announcement> DecodeAnnouncement(std::string_view text);

/// Returns the JSON body that DecodeAnnouncement parses. The body contains
/// neither start time nor sequence number nor whether the upstream reports when
/// it is cold.
std::string EncodeAnnouncement(const Announcement& announcement);

}  // namespace kingcupstair::guard

#endif  // COMPONENTS_GUARD_ANNOUNCEMENT_H_
