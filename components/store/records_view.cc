#include "components/store/records_view.h"

#include <algorithm>
#include <utility>

namespace kingcupstair::store {

RecordsView::RecordsView(Options options) : options(std::move(options)) {}

// A store that is down may accept calls and never respond. A watch sent at that
// time would block until its own timeout, long after the store is back. A
// listing has a short timeout. Each failure is therefore followed by a listing.
std::optional<uint64_t> RecordsView::WatchFrom() const {
  if (!this->up_to_date) {
    return std::nullopt;
  }
  return this->revision;
}

void RecordsView::OnListing(const Listing& listing, Instant now) {
  if (listing.era > this->current_era && !this->records.empty()) {
    this->former = std::move(this->records);
    this->former_until = now + this->options.restore_time;
  }
  Records listed;
  for (const KeyedEntry& record : listing.entries) {
    listed[record.key] = record.entry;
  }
  if (listing.era != this->current_era || listed != this->records) {
    this->content_known_at = listing.revision;
  }
  this->records = std::move(listed);
  this->revision = listing.revision;
  this->current_era = listing.era;
  this->up_to_date = true;
}

// The next watch starts at the revision that was read last. The store therefore
// returns changes made between two watches at once.
bool RecordsView::OnChanges(const Changes& changes) {
  if (changes.history_lost || changes.era != this->current_era) {
    this->up_to_date = false;
    return false;
  }
  for (const KeyedEntry& change : changes.entries) {
    this->former.erase(change.key);
    this->content_known_at = std::max(
        this->content_known_at,
        change.entry.version == 0 ? changes.revision : change.entry.version);
    if (change.entry.version == 0) {
      this->records.erase(change.key);
    } else {
      this->records[change.key] = change.entry;
    }
  }
  this->revision = std::max(this->revision, changes.revision);
  return !changes.entries.empty();
}

std::vector<KeyedEntry> RecordsView::ListOf(const Records& records) {
  std::vector<KeyedEntry> all;
  for (const auto& [key, entry] : records) {
    all.push_back({.key = key, .entry = entry});
  }
  return all;
}

// The restored copy lacks what was written after it was made. It may also still
// have a key that was deleted since: keeping that key is the safe choice, as
// such keys take something out of service.
std::vector<KeyedEntry> RecordsView::All() const {
  const bool restored_is_older =
      !this->former.empty() &&
      this->options.content_version(ListOf(this->records)) <
          this->options.content_version(ListOf(this->former));
  Records merged = restored_is_older ? this->former : this->records;
  merged.insert(this->former.begin(), this->former.end());
  merged.insert(this->records.begin(), this->records.end());
  return ListOf(merged);
}

Duration RecordsView::WatchTime(Duration longest, Instant now) const {
  if (this->former.empty()) {
    return longest;
  }
  return std::clamp(this->former_until - now,
                    Duration(std::chrono::milliseconds(1)), longest);
}

bool RecordsView::DropFormerRecords(Instant now) {
  if (this->former.empty() || now < this->former_until) {
    return false;
  }
  this->former.clear();
  this->content_known_at = this->revision;
  return true;
}

}  // namespace kingcupstair::store
