#include "components/guard/guard.h"

#include <utility>

namespace kingcupstair::guard {
namespace {

constexpr int kDefaultSlots = 4;

}  // namespace

void Guard::Announce(const Announcement& announcement) {
  Wakes wakes;
  const std::lock_guard lock(this->mutex);
  if (this->IsStale(announcement)) {
    return;
  }
  this->ForgetPredecessors(announcement, wakes);
  const auto found = this->upstreams.find(announcement.id);
  if (found == this->upstreams.end()) {
    this->AddUpstream(announcement);
    return;
  }
  GuardedUpstream& upstream = found->second;
  const Announcement before =
      std::exchange(upstream.announcement, announcement);
  upstream.last_seen = MonotonicNow();
  upstream.unreachable = false;
  if (before.incarnation != announcement.incarnation) {
    upstream.gate->Reset();
    upstream.judge.Restart();
    this->RecordUpstream("upstream_restarted", announcement, "");
    this->BlameBroken(upstream);
    upstream.broken.clear();
  }
  if (announcement.draining && !before.draining) {
    this->RecordUpstream("upstream_draining", announcement, "");
    this->waiters.Dispatch(
        upstream.gate->RefuseQueued(once::RefusalReason::kDraining), wakes);
  }
}

// An announcement may have been held up on its way until after its sender has
// left, crashed, or been followed by another at the same endpoint.
bool Guard::IsStale(const Announcement& announcement) const {
  if (this->withdrawn.contains(announcement.id + announcement.incarnation)) {
    return true;
  }
  for (const auto& [id, upstream] : this->upstreams) {
    const Announcement& known = upstream.announcement;
    if (known.endpoint != announcement.endpoint) {
      continue;
    }
    if (known.started_at > announcement.started_at) {
      return true;
    }
    const bool same_start =
        id == announcement.id && known.incarnation == announcement.incarnation;
    if (same_start && announcement.sequence > 0 &&
        announcement.sequence <= known.sequence) {
      return true;
    }
  }
  return false;
}

// Whoever is announced at an endpoint now, nobody else is there any more.
void Guard::ForgetPredecessors(const Announcement& announcement, Wakes& wakes) {
  for (auto at = this->upstreams.begin(); at != this->upstreams.end();) {
    GuardedUpstream& upstream = at->second;
    if (at->first == announcement.id ||
        upstream.announcement.endpoint != announcement.endpoint) {
      ++at;
      continue;
    }
    this->BlameBroken(upstream);
    this->waiters.Dispatch(
        upstream.gate->RefuseQueued(once::RefusalReason::kUpstreamGone), wakes);
    this->RecordUpstream("upstream_gone", upstream.announcement,
                         "another is at its endpoint");
    at = this->upstreams.erase(at);
  }
}

void Guard::Withdraw(const std::string& id) {
  Wakes wakes;
  const std::lock_guard lock(this->mutex);
  const auto found = this->upstreams.find(id);
  if (found == this->upstreams.end()) {
    return;
  }
  GuardedUpstream& upstream = found->second;
  this->withdrawn[id + upstream.announcement.incarnation] = MonotonicNow();
  upstream.announcement.draining = true;
  this->RecordUpstream("upstream_left", upstream.announcement, "");
  this->waiters.Dispatch(
      upstream.gate->RefuseQueued(once::RefusalReason::kDraining), wakes);
}

void Guard::AddUpstream(const Announcement& announcement) {
  const auto current = this->configuration.Read();
  const auto* service = current->FindService(announcement.service);
  const int configured = service == nullptr ? kDefaultSlots : service->slots;
  const bool bounded = service != nullptr && !announcement.tells_warm_up;
  const int slots = announcement.slots <= 0 ? configured
                    : bounded ? std::min(announcement.slots, configured)
                              : announcement.slots;
  GuardedUpstream& upstream = this->upstreams[announcement.id];
  upstream.announcement = announcement;
  const admission::WarmUp warm_up =
      announcement.tells_warm_up
          ? admission::WarmUp(admission::RateLimitedWarmUp{
                .rate = service == nullptr ? 0 : service->warmup_rate})
          : admission::WarmUp(admission::AdaptiveWarmUp{});
  upstream.gate = std::make_unique<admission::UpstreamGate>(
      admission::UpstreamGate::Options{.slots = slots, .warm_up = warm_up});
  upstream.last_seen = MonotonicNow();
  this->RecordUpstream("upstream_started", announcement, "");
}

}  // namespace kingcupstair::guard
