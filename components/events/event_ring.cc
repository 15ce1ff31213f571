#include "components/events/event_ring.h"

namespace kingcupstair::events {
namespace {

constexpr int64_t kMergeWindowMs = 1000;
constexpr size_t kMaxMergeLookback = 32;

bool HasSameContent(const Event& left, const Event& right) {
  return left.kind == right.kind && left.organisation == right.organisation &&
         left.upstream == right.upstream && left.detail == right.detail &&
         left.zone == right.zone && left.revision == right.revision;
}

}  // namespace

EventRing::EventRing(Options options) : options(std::move(options)) {}

void EventRing::Add(Event event) {
  const std::lock_guard lock(this->mutex);
  if (this->MergeIntoRecent(event)) {
    return;
  }
  event.host = this->options.host;
  event.sequence = ++this->last_sequence;
  this->ring.push_back(std::move(event));
  if (this->ring.size() > this->options.capacity) {
    this->ring.pop_front();
  }
}

// Without merging, the events of one organisation far above its rate limit
// would push all other events out of the ring.
bool EventRing::MergeIntoRecent(const Event& event) {
  size_t compared = 0;
  for (auto at = this->ring.rbegin();
       at != this->ring.rend() && compared < kMaxMergeLookback;
       ++at, ++compared) {
    if (HasSameContent(*at, event) &&
        event.at_ms - at->at_ms < kMergeWindowMs) {
      ++at->count;
      return true;
    }
  }
  return false;
}

std::vector<Event> EventRing::All() const {
  const std::lock_guard lock(this->mutex);
  return {this->ring.begin(), this->ring.end()};
}

}  // namespace kingcupstair::events
