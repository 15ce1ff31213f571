#ifndef COMPONENTS_GUARD_DEPARTURES_H_
#define COMPONENTS_GUARD_DEPARTURES_H_

#include <map>
#include <string>
#include <vector>

#include "components/base/time.h"

namespace kingcupstair::guard {

/// Starts of upstreams that have said that they leave. Announcements that such
/// a start sent before may still arrive, and must not bring it back into use.
class Departures {
 public:
  /// Returns the name of one start of an upstream.
  static std::string StartName(const std::string& upstream,
                               const std::string& incarnation);

  /// Records a departure. Returns true if it was not known.
  bool Add(const std::string& start, Instant now);

  bool Contains(const std::string& start) const;

  /// Forgets departures after the longest time that an announcement may be
  /// delayed.
  void Expire(Instant now);

  /// Returns the names of the known starts, in order.
  std::vector<std::string> Starts() const;

 private:
  /// Time of the last message about the departure, by the name of the start.
  std::map<std::string, Instant> last_heard;
};

}  // namespace kingcupstair::guard

#endif  // COMPONENTS_GUARD_DEPARTURES_H_
