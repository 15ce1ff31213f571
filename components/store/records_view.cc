#include "components/store/records_view.h"

#include <algorithm>

namespace kingcupstair::store {

// A store that is down may accept calls and never respond. A watch sent at that
// time would block until its own timeout, long after the store is back. A
// listing has a short timeout. Each failure is therefore followed by a listing.
std::optional<uint64_t> RecordsView::WatchFrom() const {
  if (!this->up_to_date) {
    return std::nullopt;
  }
  return this->revision;
}

void RecordsView::OnListing(const Listing& listing) {
  this->records.clear();
  for (const KeyedEntry& record : listing.entries) {
    this->records[record.key] = record.entry;
  }
  this->revision = listing.revision;
  this->up_to_date = true;
}

// The next watch starts at the revision that was read last. The store therefore
// returns changes made between two watches at once.
bool RecordsView::OnChanges(const Changes& changes) {
  if (changes.history_lost) {
    this->up_to_date = false;
    return false;
  }
  for (const KeyedEntry& change : changes.entries) {
    if (change.entry.version == 0) {
      this->records.erase(change.key);
    } else {
      this->records[change.key] = change.entry;
    }
  }
  this->revision = std::max(this->revision, changes.revision);
  return !changes.entries.empty();
}

std::vector<KeyedEntry> RecordsView::All() const {
  std::vector<KeyedEntry> all;
  for (const auto& [key, entry] : this->records) {
    all.push_back({.key = key, .entry = entry});
  }
  return all;
}

}  // namespace kingcupstair::store
