#include "components/control/host_loop.h"

#include <algorithm>
#include <random>
#include <set>
#include <utility>

#include "components/base/error.h"
#include "components/fibers/boundary.h"
#include "components/fibers/worker_pool.h"
#include "components/logging/log.h"
#include "components/store/keys.h"

namespace kingcupstair::control {
namespace {

/// Longer than a usual outage of the store, so that keys survive it. The key of
/// a host that no longer runs costs only an unanswered call.
constexpr Duration kLeaseLifetime{std::chrono::seconds(15)};
constexpr Duration kRenewInterval{std::chrono::seconds(4)};
constexpr Duration kRetryInterval{std::chrono::milliseconds(700)};
/// Longest delay between two tries while the store fails. The calls of all
/// hosts together are refused and billed, and a key survives several of them.
constexpr Duration kMaxRetryInterval{std::chrono::seconds(4)};
constexpr Duration kStepInterval{std::chrono::milliseconds(100)};
/// While a fleet starts, its hosts register one after the other, so hosts are
/// discovered more often for this long.
constexpr Duration kStartupPeriod{std::chrono::seconds(4)};
/// Half of the first interval; it doubles until the usual one is reached.
constexpr Duration kStartupDiscoveryInterval{std::chrono::milliseconds(200)};
constexpr Duration kDiscoveryInterval{std::chrono::seconds(10)};
/// Limits the reads of all hosts together to ten per second, regardless of the
/// number of hosts.
constexpr Duration kDiscoveryIntervalPerHost{std::chrono::milliseconds(100)};
/// New hosts contacted in one round; gossip with them brings the other hosts.
constexpr size_t kMaxNewHostsPerRound = 4;

}  // namespace

HostLoop::HostLoop(Fleet& fleet, GossipLoop& gossip)
    : fleet(fleet),
      gossip(gossip),
      start(MonotonicNow()),
      backoff({.first = kRetryInterval, .longest = kMaxRetryInterval}),
      startup_interval(kStartupDiscoveryInterval) {}

// Leases of a former era are gone, and with them the key of this host.
void HostLoop::NoticeEra() {
  const uint64_t known = std::exchange(this->era, this->fleet.store.era());
  if (known > 0 && known != this->era) {
    this->lease.reset();
    this->renew_at = MonotonicNow();
    this->fleet.spread_updates();
  }
}

void HostLoop::Step() {
  this->NoticeEra();
  this->MaintainLease(MonotonicNow());
  this->Discover(MonotonicNow());
  fibers::SleepFor(kStepInterval);
}

void HostLoop::MaintainLease(Instant now) {
  if (now < this->renew_at) {
    return;
  }
  if (!this->lease.has_value()) {
    this->renew_at =
        MonotonicNow() + (this->Register() ? this->DelayAfterSuccess()
                                           : this->backoff.NextDelay());
    return;
  }
  const auto renewed = this->fleet.store.RenewLease(*this->lease);
  if (!renewed.ok()) {
    this->renew_at = MonotonicNow() + this->backoff.NextDelay();
    return;
  }
  if (!*renewed) {
    this->lease.reset();
    this->fleet.recorder.Record({.kind = "host_lease_lost"});
    return;
  }
  this->renew_at = MonotonicNow() + this->DelayAfterSuccess();
}

Duration HostLoop::DelayAfterSuccess() {
  this->backoff.Reset();
  return kRenewInterval;
}

bool HostLoop::Register() {
  const auto granted = this->fleet.store.GrantLease(kLeaseLifetime);
  if (!granted.ok()) {
    return false;
  }
  const auto put =
      this->fleet.store.PutLeased(store::HostKey(this->fleet.settings.host),
                                  this->fleet.settings.zone, *granted);
  if (!put.ok() || *put != store::PutResult::kWritten) {
    return false;
  }
  this->lease = *granted;
  this->fleet.recorder.Record({.kind = "host_registered"});
  return true;
}

void HostLoop::Discover(Instant now) {
  if (now < this->discover_at) {
    return;
  }
  const auto listing =
      this->fleet.store.List(store::HostKey(""), /*may_be_stale=*/true);
  const bool starting = now - this->start < kStartupPeriod;
  const auto hosts = static_cast<int64_t>(this->fleet.directory.size());
  const Duration usual =
      std::max(kDiscoveryInterval, kDiscoveryIntervalPerHost * hosts);
  const bool alone = hosts == 1;
  this->startup_interval =
      starting || alone ? std::min(this->startup_interval * 2, usual) : usual;
  this->discover_at =
      MonotonicNow() +
      (alone ? std::min<Duration>(this->startup_interval, kMaxRetryInterval)
             : this->startup_interval);
  if (!listing.ok()) {
    return;
  }
  std::set<std::string> known;
  for (const auto& record : this->fleet.directory.HostsNotDead()) {
    known.insert(record.host);
  }
  std::vector<std::string> new_hosts;
  for (const store::KeyedEntry& entry : listing->entries) {
    const std::string host = entry.key.substr(store::HostKey("").size());
    if (!known.contains(host)) {
      new_hosts.push_back(host);
    }
  }
  std::shuffle(new_hosts.begin(), new_hosts.end(),
               std::mt19937_64{std::random_device{}()});
  new_hosts.resize(std::min(new_hosts.size(), kMaxNewHostsPerRound));
  for (const std::string& host : new_hosts) {
    fibers::Launch("contact a new host",
                   [this, host] { this->gossip.ContactNewHost(host); });
  }
}

}  // namespace kingcupstair::control
