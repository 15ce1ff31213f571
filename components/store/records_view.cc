#include "components/store/records_view.h"

#include <algorithm>

namespace kingcupstair::store {

// A store that is out may swallow calls. A watch sent to it would be waited for
// in vain, long after the store has come back; a listing is given up soon.
std::optional<uint64_t> RecordsView::WatchFrom() const {
  if (!this->current) {
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
  this->current = true;
}

// A change made while nobody listened is told at once by the store, since the
// watch goes on from the revision that was read last.
bool RecordsView::OnChanges(const Changes& changes) {
  if (changes.history_lost) {
    this->current = false;
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
