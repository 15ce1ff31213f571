#ifndef COMPONENTS_STORE_RECORDS_VIEW_H_
#define COMPONENTS_STORE_RECORDS_VIEW_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "components/base/time.h"
#include "components/store/protocol.h"

namespace kingcupstair::store {

/// Returns the version that the operators gave the content of records, or 0.
using ContentVersion = std::function<uint64_t(const std::vector<KeyedEntry>&)>;

/// Local copy of the store's keys with one prefix. The copy is updated by a
/// listing at first and after each failure, and by watches in between.
///
/// When the store has been restored from an older copy, the records that were
/// read before stay in force for a while, until their writers have written them
/// again: a key that the restored copy lacks keeps its value, and so do all
/// records if the restored content has a lower version.
class RecordsView {
 public:
  struct Options {
    ContentVersion content_version;
    /// Time within which writers write again what a restore has lost.
    Duration restore_time{std::chrono::seconds(10)};
  };

  explicit RecordsView(Options options);

  /// Returns the revision to watch from, or nullopt if a listing is needed
  /// first.
  std::optional<uint64_t> WatchFrom() const;

  /// Replaces the copy by a listing of all keys.
  void OnListing(const Listing& listing, Instant now);

  /// Applies the changes that a watch returned. Returns true if a record may
  /// have changed. Requires a new listing if the store has lost its history.
  bool OnChanges(const Changes& changes);

  /// Requires a new listing, after a failed call or a time without calls.
  void Invalidate() { this->up_to_date = false; }

  /// Returns `longest`, or the time until `DropFormerRecords` has something to
  /// drop if that is shorter.
  Duration WatchTime(Duration longest, Instant now) const;

  /// Returns the records in force, sorted by key.
  std::vector<KeyedEntry> All() const;

  /// Returns true once when the records of the former era are no longer kept
  /// although their writers have not written all of them again.
  bool DropFormerRecords(Instant now);

  /// Returns a revision of the store as of which the content is known to be
  /// this: that of the last change, or that of the listing that differed from
  /// the copy. Hosts that have watched the same changes have the same one.
  uint64_t content_revision() const { return this->content_known_at; }
  /// Returns the era of the store in which the copy was read.
  uint64_t era() const { return this->current_era; }

 private:
  using Records = std::map<std::string, Entry>;

  static std::vector<KeyedEntry> ListOf(const Records& records);

  Options options;
  Records records;
  /// Records of the former era that have not been written in the present one.
  Records former;
  Instant former_until;
  uint64_t current_era = 0;
  /// The store's revision that was read last.
  uint64_t revision = 0;
  uint64_t content_known_at = 0;
  /// False if a listing is needed before the next watch.
  bool up_to_date = false;
};

}  // namespace kingcupstair::store

#endif  // COMPONENTS_STORE_RECORDS_VIEW_H_
