#ifndef COMPONENTS_GUARD_ANNOUNCEMENT_H_
#define COMPONENTS_GUARD_ANNOUNCEMENT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "components/base/endpoint.h"

namespace kingcupstair::guard {

/// What an upstream tells the process on its host, again and again while it
/// runs.
struct Announcement {
  std::string id;
  std::string service;
  Endpoint endpoint;
  /// Differs after each start of the upstream.
  std::string incarnation;
  /// Rises with each start at the same endpoint, if the upstream tells it: an
  /// announcement of an earlier one is passed over.
  uint64_t started_at = 0;
  /// Rises with each announcement of one start, if the upstream counts them.
  uint64_t sequence = 0;
  /// The upstream says itself when it is cold; see WarmUpByRate.
  bool tells_warm_up = false;
  /// Requests it can run at once; 0 leaves it to the configuration.
  int slots = 0;
  /// It finishes what runs and wants nothing new.
  bool draining = false;

  bool operator==(const Announcement&) const = default;
};

/// Reads the JSON body of an announcement.
absl::StatusOr<Announcement> DecodeAnnouncement(std::string_view text);

std::string EncodeAnnouncement(const Announcement& announcement);

}  // namespace kingcupstair::guard

#endif  // COMPONENTS_GUARD_ANNOUNCEMENT_H_
