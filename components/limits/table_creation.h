#ifndef COMPONENTS_LIMITS_TABLE_CREATION_H_
#define COMPONENTS_LIMITS_TABLE_CREATION_H_

#include <cstdint>

#include "components/base/time.h"

namespace kingcupstair::limits {

/// When the hosts of a fleet without a share table create and read it, counted
/// from the start of each host. Answers the load pattern of all hosts starting
/// at once: one of them creates the table, the others take their turn only if
/// that one does not, and all have their shares soon after.
struct TableCreation {
  /// Delay between one host's turn to create the table and the next host's.
  static constexpr Duration kStagger{std::chrono::milliseconds(150)};
  /// Time over which the hosts spread their reads of the new table.
  static constexpr Duration kReadSpread{std::chrono::milliseconds(1000)};

  /// Time within which the hosts find each other.
  Duration gathering_time{};

  /// Returns the time at which a host may create the table that has
  /// `hosts_before` hosts before it in order.
  Duration CreationDelay(int64_t hosts_before) const {
    return this->gathering_time + kStagger * hosts_before;
  }

  /// Returns the time at which the host reads the table again after it found
  /// none. `position` is the host's place in the spread, from 0 to 1. A host
  /// that waited for its own turn would have no share for a time that grows
  /// with the number of hosts.
  Duration ReadDelay(int64_t hosts_before, double position) const {
    const Duration read = this->gathering_time + kStagger +
                          FractionOf(kReadSpread - kStagger, position);
    const Duration creation = this->CreationDelay(hosts_before);
    return creation < read ? creation : read;
  }

  bool operator==(const TableCreation&) const = default;
};

}  // namespace kingcupstair::limits

#endif  // COMPONENTS_LIMITS_TABLE_CREATION_H_
