#include "components/guard/guard.h"

#include <algorithm>
#include <utility>

#include "components/logging/log.h"

namespace kingcupstair::guard {
namespace {

constexpr int kDefaultSlots = 4;
/// New requests a second to a cold upstream while this host has no rules of its
/// service.
constexpr double kWarmUpRateOfUnknownService = 1;
/// Greatest difference between the clocks of a host and its upstream. A start
/// that follows a departure begins later than this after it, since an upstream
/// that leaves goes on serving for some time.
constexpr Duration kMaxClockDifference{std::chrono::seconds(2)};

}  // namespace

std::optional<std::string> Guard::Announce(const Announcement& announcement) {
  DeferredWakeups wakeups;
  const std::lock_guard lock(this->mutex);
  std::optional<std::string> departure;
  if (announcement.draining) {
    departure = Departures::StartName(announcement);
    this->departures.Add(*departure, MonotonicNow());
  }
  if (this->IsStale(announcement)) {
    this->DrainDeparted(wakeups);
    return departure;
  }
  this->RemovePredecessors(announcement, wakeups);
  const auto found = this->upstreams.find(announcement.id);
  if (found == this->upstreams.end()) {
    this->AddUpstream(announcement);
    return departure;
  }
  GuardedUpstream& upstream = found->second;
  const Announcement previous =
      std::exchange(upstream.announcement, announcement);
  upstream.last_seen = MonotonicNow();
  upstream.unreachable = false;
  if (previous.incarnation != announcement.incarnation) {
    upstream.gate->Reset();
    upstream.failure_detector.Reset();
    upstream.shed_share = 0;
    upstream.has_responded = false;
    this->RecordUpstreamEvent("upstream_restarted", announcement, "");
    this->AddCrashEvidence(previous,
                           upstream.crash_suspects.TakeAll(MonotonicNow()));
  } else {
    upstream.crash_suspects.OnAnnounced();
  }
  upstream.gate->SetCold(announcement.cold);
  if (announcement.draining && !previous.draining) {
    this->Drain(upstream, "upstream_draining", wakeups);
  }
  return departure;
}

void Guard::Drain(GuardedUpstream& upstream,
                  const char* event,
                  DeferredWakeups& wakeups) {
  upstream.announcement.draining = true;
  this->RecordUpstreamEvent(event, upstream.announcement, "");
  this->waiters.Dispatch(
      upstream.gate->RefuseQueued(once::RefusalReason::kDraining), wakeups);
}

// An announcement may be delayed until after its sender has left, crashed, or
// been replaced by another upstream at the same endpoint.
bool Guard::IsStale(const Announcement& announcement) const {
  if (!announcement.draining && this->departures.Covers(announcement)) {
    return true;
  }
  for (const auto& [id, upstream] : this->upstreams) {
    const Announcement& known = upstream.announcement;
    if (known.endpoint != announcement.endpoint && id != announcement.id) {
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

// Removes other upstreams at the announced endpoint: only one upstream can
// listen there, so the earlier ones have ended.
void Guard::RemovePredecessors(const Announcement& announcement,
                               DeferredWakeups& wakeups) {
  for (auto at = this->upstreams.begin(); at != this->upstreams.end();) {
    GuardedUpstream& upstream = at->second;
    if (at->first == announcement.id ||
        upstream.announcement.endpoint != announcement.endpoint) {
      ++at;
      continue;
    }
    this->AddCrashEvidence(upstream.announcement,
                           upstream.crash_suspects.TakeAll(MonotonicNow()));
    this->waiters.Dispatch(
        upstream.gate->RefuseQueued(once::RefusalReason::kUpstreamGone),
        wakeups);
    this->RecordUpstreamEvent("upstream_gone", upstream.announcement,
                              "another is at its endpoint");
    at = this->upstreams.erase(at);
  }
}

// Only the id is known of an upstream that leaves, and the start that was heard
// of last need not be the one that leaves: announcements of a later one may
// still be on their way. The starts of an id follow each other, so that all
// that have begun have left.
std::string Guard::Withdraw(const std::string& id) {
  DeferredWakeups wakeups;
  const std::lock_guard lock(this->mutex);
  const Instant now = MonotonicNow();
  const auto found = this->upstreams.find(id);
  const bool is_known =
      found != this->upstreams.end() &&
      now - found->second.last_seen <= this->options.announcement_lifetime;
  std::string departure;
  if (is_known && found->second.announcement.started_at == 0) {
    departure = Departures::StartName(found->second.announcement);
  } else {
    const uint64_t last_start =
        is_known ? found->second.announcement.started_at : 0;
    // One that was draining ends after this call, and another may start at
    // once.
    const bool ends_now = is_known && found->second.announcement.draining;
    departure = this->departures.NameOfStartsUntil(
        id, {.begun = std::max<uint64_t>(WallClockMillis(), last_start),
             .margin = ends_now ? Duration{} : kMaxClockDifference});
  }
  if (!is_known) {
    this->RecordUpstreamEvent("upstream_left", {.id = id}, departure);
  }
  this->departures.Add(departure, now);
  this->DrainDeparted(wakeups);
  return departure;
}

void Guard::LearnDepartures(const std::vector<std::string>& names) {
  DeferredWakeups wakeups;
  const std::lock_guard lock(this->mutex);
  for (const std::string& name : names) {
    if (Departures::IsName(name)) {
      this->departures.Add(name, MonotonicNow());
    } else {
      logging::Write(logging::Level::kWarning,
                     "a kept departure has an invalid name and is ignored",
                     {{.name = "departure", .value = name}});
    }
  }
  this->DrainDeparted(wakeups);
}

void Guard::DrainDeparted(DeferredWakeups& wakeups) {
  for (auto& [id, upstream] : this->upstreams) {
    if (!upstream.announcement.draining &&
        this->departures.Covers(upstream.announcement)) {
      this->Drain(upstream, "upstream_left", wakeups);
    }
  }
}

std::vector<std::string> Guard::KnownDepartures() const {
  const std::lock_guard lock(this->mutex);
  return this->departures.Names();
}

// Other hosts may know the service before this host does.
double Guard::WarmUpRate(const std::string& name) const {
  const auto current = this->configuration.Read();
  const auto* service = current->FindService(name);
  return service == nullptr ? kWarmUpRateOfUnknownService
                            : service->warmup_rate;
}

void Guard::AddUpstream(const Announcement& announcement) {
  const auto current = this->configuration.Read();
  const auto* service = current->FindService(announcement.service);
  const int configured = service == nullptr ? kDefaultSlots : service->slots;
  const bool limited_by_configuration =
      service != nullptr && !announcement.reports_cold_state;
  const int slots = announcement.slots <= 0 ? configured
                    : limited_by_configuration
                        ? std::min(announcement.slots, configured)
                        : announcement.slots;
  GuardedUpstream& upstream = this->upstreams[announcement.id];
  upstream.announcement = announcement;
  admission::RateLimitedWarmUp rate_limited = this->options.warm_up;
  rate_limited.rate = this->WarmUpRate(announcement.service);
  const admission::WarmUp warm_up =
      announcement.reports_cold_state
          ? admission::WarmUp(rate_limited)
          : admission::WarmUp(admission::AdaptiveWarmUp{});
  const admission::Admission admission =
      this->options.admission_by_work
          ? admission::Admission(admission::WorkAdmission{
                .estimator = this->work_estimator, .upstream = announcement.id})
          : admission::Admission(admission::LatencyAdmission{});
  upstream.gate = std::make_unique<admission::UpstreamGate>(
      admission::UpstreamGate::Options{
          .slots = slots, .warm_up = warm_up, .admission = admission});
  upstream.gate->SetCold(announcement.cold);
  upstream.last_seen = MonotonicNow();
  this->RecordUpstreamEvent("upstream_started", announcement, "");
}

}  // namespace kingcupstair::guard
