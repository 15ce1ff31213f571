#ifndef COMPONENTS_CONTROL_SHARE_LOOP_H_
#define COMPONENTS_CONTROL_SHARE_LOOP_H_

#include <optional>
#include <random>

#include "absl/status/statusor.h"
#include "components/control/fleet.h"
#include "components/limits/share_table.h"

namespace kingcupstair::control {

/// Maintains this host's entry in the share table of the store: joins the
/// table, applies the share that the table assigns, and transfers parts of the
/// share to hosts that have less.
class ShareLoop {
 public:
  explicit ShareLoop(Fleet& fleet);

  /// Runs one round, then sleeps. Once this host has joined, the interval grows
  /// with the number of hosts.
  void Step();

 private:
  struct StoredTable {
    limits::ShareTable table;
    uint64_t version = 0;
  };

  /// Reads the table. The version is 0 if there is none.
  absl::StatusOr<StoredTable> ReadTable() const;
  /// Writes the table if its stored version is `version`. Returns false on a
  /// version conflict or an error.
  bool WriteTable(const limits::ShareTable& table, uint64_t version) const;
  /// Adds this host to the table, or starts the creation of the table.
  void Join();
  /// Creates the table with equal shares once the creation delay is over.
  void CreateTable();
  /// Returns the time after the start at which this host may create the table.
  Duration CreationDelay() const;
  /// Applies this host's share from the table and makes a transfer that is due.
  void FollowTable();
  /// Transfers parts of this host's share to another host.
  void TransferParts(const StoredTable& stored, const limits::ShareMove& move);

  Fleet& fleet;
  /// The start of this process. Loans of an earlier incarnation may still be
  /// valid for a loan lifetime after the start.
  Instant start;
  bool joined = false;
  /// Whether this process has seen that there was no table yet, so that no
  /// earlier incarnation can have written one.
  bool table_was_absent = false;
  /// Set while the write of a transfer may still reach the store. The share
  /// stays lowered until the table has been written again.
  bool transfer_unconfirmed = false;
  /// Whether the last write in Join failed.
  bool write_failed = false;
  std::mt19937_64 random{std::random_device{}()};
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_SHARE_LOOP_H_
