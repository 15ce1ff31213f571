#ifndef COMPONENTS_GUARD_DEPARTURES_H_
#define COMPONENTS_GUARD_DEPARTURES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "components/base/time.h"
#include "components/guard/announcement.h"

namespace kingcupstair::guard {

/// Starts of upstreams that have said that they leave. Announcements that such
/// a start sent before may still arrive, and must not bring it back into use.
class Departures {
 public:
  /// Returns the name of one start of an upstream.
  static std::string StartName(const std::string& upstream,
                               const std::string& incarnation);

  /// Returns the name of the start that announces itself.
  static std::string StartName(const Announcement& announcement);

  /// Returns a name for all starts of an upstream until a time, in milliseconds
  /// since the Unix epoch. It stands for the departure of a start that is not
  /// known.
  static std::string StartsUntilName(const std::string& upstream,
                                     uint64_t until_millis);

  /// The starts of an upstream that have begun by a time, in milliseconds since
  /// the Unix epoch, by a clock that may differ from that of the upstream.
  struct StartsBegun {
    uint64_t begun = 0;
    Duration margin{};
  };

  /// Returns the name of a known departure that covers these starts, or a name
  /// for them.
  std::string NameOfStartsUntil(const std::string& upstream,
                                const StartsBegun& starts) const;

  /// Returns whether `name` is of one of these forms, for names that were kept
  /// elsewhere.
  static bool IsName(const std::string& name);

  /// Records a departure by the name of a start or of several. Returns true if
  /// it was not known.
  bool Add(const std::string& name, Instant now);

  bool Contains(const std::string& name) const;

  /// Returns true if the start that announces itself has departed. A start
  /// without a start time counts as earlier than any time.
  bool Covers(const Announcement& announcement) const;

  /// Forgets departures after the longest time that an announcement may be
  /// delayed.
  void Expire(Instant now);

  /// Returns the names of the known departures, in order.
  std::vector<std::string> Names() const;

 private:
  /// Returns the name of a departure of all starts until `started_at` or later.
  std::optional<std::string> FindCovering(const std::string& upstream,
                                          uint64_t started_at) const;

  /// Time of the last message about the departure, by its name.
  std::map<std::string, Instant> last_heard;
};

}  // namespace kingcupstair::guard

#endif  // COMPONENTS_GUARD_DEPARTURES_H_
