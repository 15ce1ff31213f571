#ifndef TESTS_LIMITS_SHARE_RESTORE_MODEL_H_
#define TESTS_LIMITS_SHARE_RESTORE_MODEL_H_

#include <cstddef>

namespace kingcupstair::limits {

/// How hosts treat a restore of the store from an older copy.
struct RestoreRules {
  /// A host that hears of the restore lowers its share to its entry in the
  /// restored table. If a write of its own, or of a former process, may still
  /// reach the store, it falls back to the least share that it held since
  /// before the copy was made.
  bool falls_back = true;
  /// No host raises its share or writes the table before all others have heard
  /// of the restore.
  bool waits = true;
  /// Each era has a table of its own, so that a delayed write of a former era
  /// does not change the present one although versions are given out again.
  bool era_tables = true;
  /// A host that starts uses its entry without a write of its own only if the
  /// table has a later version than at the host's first read.
  bool joins_by_later_version = true;
};

struct ExplorationResult {
  size_t states = 0;
  /// A state was reached in which the hosts together hold more than the whole.
  bool exceeds_whole = false;
};

/// Explores all orders of up to `depth` steps of two hosts and the store:
/// reads of the share table, transfers (lowered, written, lost, and delayed
/// until after a restore), a copy and a restore of the store, and restarts.
ExplorationResult ExploreShareRestore(const RestoreRules& rules, int depth);

}  // namespace kingcupstair::limits

#endif  // TESTS_LIMITS_SHARE_RESTORE_MODEL_H_
