#ifndef COMPONENTS_STORE_RECORDS_VIEW_H_
#define COMPONENTS_STORE_RECORDS_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "components/store/protocol.h"

namespace kingcupstair::store {

/// What is known of the keys with one prefix, and how to learn more: by a
/// listing at first and after each failure, by watching in between.
class RecordsView {
 public:
  /// The revision to watch from; unset when a listing is due.
  std::optional<uint64_t> WatchFrom() const;

  /// Takes in a listing of all keys.
  void OnListing(const Listing& listing);

  /// Takes in what a watch has brought; true when a record may have changed.
  bool OnChanges(const Changes& changes);

  /// A call has failed, or nobody asked for some time.
  void OnLost() { this->current = false; }

  std::vector<KeyedEntry> All() const;
  uint64_t known_revision() const { return this->revision; }

 private:
  std::map<std::string, Entry> records;
  uint64_t revision = 0;
  bool current = false;
};

}  // namespace kingcupstair::store

#endif  // COMPONENTS_STORE_RECORDS_VIEW_H_
