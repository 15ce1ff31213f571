#ifndef COMPONENTS_STORE_RECORDS_VIEW_H_
#define COMPONENTS_STORE_RECORDS_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "components/store/protocol.h"

namespace kingcupstair::store {

/// Local copy of the store's keys with one prefix. The copy is updated by a
/// listing at first and after each failure, and by watches in between.
class RecordsView {
 public:
  /// Returns the revision to watch from, or nullopt if a listing is needed
  /// first.
  std::optional<uint64_t> WatchFrom() const;

  /// Replaces the copy by a listing of all keys.
  void OnListing(const Listing& listing);

  /// Applies the changes that a watch returned. Returns true if a record may
  /// have changed. Requires a new listing if the store has lost its history.
  bool OnChanges(const Changes& changes);

  /// Requires a new listing, after a failed call or a time without calls.
  void Invalidate() { this->up_to_date = false; }

  /// Returns all records of the copy, sorted by key.
  std::vector<KeyedEntry> All() const;
  /// Returns the store's revision that was read last.
  uint64_t known_revision() const { return this->revision; }

 private:
  /// Entries by key.
  std::map<std::string, Entry> records;
  uint64_t revision = 0;
  /// False if a listing is needed before the next watch.
  bool up_to_date = false;
};

}  // namespace kingcupstair::store

#endif  // COMPONENTS_STORE_RECORDS_VIEW_H_
