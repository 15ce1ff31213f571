#ifndef COMPONENTS_CONTROL_SHARE_LOOP_H_
#define COMPONENTS_CONTROL_SHARE_LOOP_H_

#include <optional>
#include <random>

#include "absl/status/statusor.h"
#include "components/control/fleet.h"
#include "components/limits/share_table.h"

namespace kingcupstair::control {

/// Keeps this host's line in the share table of the store: joins, follows what
/// it is given, and hands parts of its share to hosts that have less.
class ShareLoop {
 public:
  explicit ShareLoop(Fleet& fleet);

  /// One round, then a pause that grows with the fleet.
  void Step();

 private:
  struct StoredTable {
    limits::ShareTable table;
    uint64_t version = 0;
  };

  absl::StatusOr<StoredTable> Read() const;
  bool Write(const limits::ShareTable& table, uint64_t version) const;
  void Join();
  void CreateTable();
  Duration CreationDelay() const;
  void Follow();
  void HandOver(const StoredTable& stored, const limits::ShareMove& move);

  Fleet& fleet;
  /// When this process began; loans of a former one may run on from here.
  Instant start;
  bool joined = false;
  /// There was no table yet when this process began, so no former life of it
  /// can have written to one.
  bool saw_no_table = false;
  /// Set while a hand-over may be on its way to the store: until the table has
  /// been written anew, the share stays lowered.
  bool unsettled = false;
  bool met_conflict = false;
  std::mt19937_64 random{std::random_device{}()};
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_SHARE_LOOP_H_
