#ifndef COMPONENTS_CONTROL_SHARE_LOOP_H_
#define COMPONENTS_CONTROL_SHARE_LOOP_H_

#include <optional>
#include <random>
#include <set>
#include <string>

#include "absl/status/statusor.h"
#include "components/control/fleet.h"
#include "components/limits/join_fence.h"
#include "components/limits/restore_settlement.h"
#include "components/limits/share_history.h"
#include "components/limits/share_table.h"
#include "components/limits/table_creation.h"
#include "components/store/shares.h"

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
  /// Starts the time of settling if the store has been restored from an older
  /// copy, and lowers the share if a write of this host may be on its way.
  void NoticeEra();
  /// Returns true while other hosts may not have noticed yet that the store has
  /// been restored, or loans of their former shares may still be valid. No host
  /// raises its share or writes the table meanwhile.
  bool IsSettling() const { return this->settlement.IsActive(MonotonicNow()); }
  /// Sleeps for `interval`, but no longer than until the store is restored or a
  /// restore is settled.
  void SleepUntilNextRound(Duration interval);
  /// Applies this host's share, and records it.
  void ApplyShare(double share);
  /// Lowers the share if the restored table could not be read in time.
  void FallBackIfUnread();
  /// Lowers the share to the least that this host surely has in the restored
  /// table, and records why.
  void FallBack(const std::string& reason);
  /// Writes the table that was read last again, after a restore from a copy
  /// that is older than the table.
  void RecreateTable(const store::StoredShareTable& absent);

  /// Reads the table of the present era or, if there is none yet, that of the
  /// latest former one.
  absl::StatusOr<store::StoredShareTable> ReadTable();
  /// Writes the table if the stored one is still `base`. Returns false on a
  /// version conflict or an error.
  bool WriteTable(const limits::ShareTable& table,
                  const store::StoredShareTable& base);
  /// Returns the hosts of this region in `table`.
  std::set<std::string> HostsOfRegion(const limits::ShareTable& table) const;
  /// Blocks loans for as long as a loan of the former process may be valid.
  void BlockLoansOfFormerProcess(const store::StoredShareTable& stored);
  /// Adds this host to the table or, if it has an entry, makes sure that no
  /// write of a former process takes effect any more. Starts the creation of
  /// the table if there is none.
  void Join();
  /// Creates the table with equal shares once the creation delay is over.
  void CreateTable(const store::StoredShareTable& absent);
  /// Returns the time after the start at which this host may create the table.
  Duration CreationDelay() const;
  /// Returns the time after the start until which an absent table is not read
  /// again.
  Duration NextReadDelay() const;
  limits::TableCreation Creation() const;
  /// Returns the number of hosts before this one in the order of creation.
  int64_t HostsBefore() const;
  /// Applies this host's share from the table and makes a transfer that is due.
  void FollowTable();
  /// Transfers parts of this host's share to another host.
  void TransferParts(const store::StoredShareTable& stored,
                     const limits::ShareMove& move);

  Fleet& fleet;
  /// The start of this process. Loans of an earlier incarnation may still be
  /// valid for a loan lifetime after the start.
  Instant start;
  bool joined = false;
  /// Whether this process has ever joined.
  bool has_joined_before = false;
  /// Whether this process has seen that there was no table yet, so that no
  /// earlier incarnation can have written one.
  bool table_was_absent = false;
  /// Set while the write of a transfer may still reach the store. The share
  /// stays lowered until the table has been written again.
  bool transfer_unconfirmed = false;
  /// Whether the last write in Join failed.
  bool write_failed = false;
  /// The reads of the table since this host last tried to join.
  limits::JoinFence join_fence;
  limits::ShareHistory history;
  /// When the response to a write was lost last.
  std::optional<Instant> lost_write_at;
  /// The table as read last, if there was one.
  std::optional<store::StoredShareTable> last_read;
  /// The era of the store at the last round.
  uint64_t era = 0;
  limits::RestoreSettlement settlement{{}};
  /// Whether the table had an entry of this host when this process joined, so
  /// that a former process may have written the table.
  bool had_entry = false;
  std::mt19937_64 random{std::random_device{}()};
  /// This host's place in the time over which all hosts read a new table.
  double read_position;
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_SHARE_LOOP_H_
