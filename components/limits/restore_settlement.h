#ifndef COMPONENTS_LIMITS_RESTORE_SETTLEMENT_H_
#define COMPONENTS_LIMITS_RESTORE_SETTLEMENT_H_

#include "components/base/time.h"

namespace kingcupstair::limits {

/// The time after a restore of the store from an older copy in which one host
/// lowers its share to its entry in the restored share table, and in which no
/// host raises its share or writes the table.
class RestoreSettlement {
 public:
  struct Options {
    /// Time within which all hosts in touch hear of the restore.
    Duration spread_time{std::chrono::seconds(3)};
    /// Time within which a host reads the restored table.
    Duration read_time{std::chrono::seconds(2)};
  };

  explicit RestoreSettlement(Options options);

  /// Starts a settlement. Loans of former shares are valid for `loan_lifetime`.
  void Begin(Instant now, Duration loan_lifetime);

  /// Records that the restored table was read.
  void RecordRead() { this->read = true; }

  /// Returns true while other hosts may not have heard of the restore, or loans
  /// of their former shares may still be valid.
  bool IsActive(Instant now) const { return now < this->ends_at; }

  /// Returns true if the host has to give up all but what it surely holds in
  /// the restored table, because it could not read that table in time.
  bool IsReadOverdue(Instant now) const;

 private:
  Options options;
  Instant began_at;
  Instant ends_at;
  bool read = false;
};

}  // namespace kingcupstair::limits

#endif  // COMPONENTS_LIMITS_RESTORE_SETTLEMENT_H_
