#include "components/control/host_loop.h"

#include <boost/fiber/fiber.hpp>

#include <algorithm>
#include <random>
#include <set>

#include "components/base/error.h"
#include "components/fibers/worker_pool.h"
#include "components/logging/log.h"
#include "components/store/keys.h"

namespace kingcupstair::control {
namespace {

/// Longer than outages of the store usually last, so that keys outlive them; a
/// key of a host that is gone only costs a call that gets no answer.
constexpr Duration kLeaseLife{std::chrono::seconds(15)};
constexpr Duration kRenewInterval{std::chrono::seconds(4)};
constexpr Duration kRetryPause{std::chrono::milliseconds(700)};
constexpr Duration kStep{std::chrono::milliseconds(100)};
/// While a fleet starts, its hosts come one after the other.
constexpr Duration kStartTime{std::chrono::seconds(4)};
constexpr Duration kDiscoverAtStart{std::chrono::milliseconds(400)};
constexpr Duration kDiscoverLater{std::chrono::seconds(10)};
/// Keeps reads of all hosts together at ten a second, however many they are.
constexpr Duration kDiscoverPerHost{std::chrono::milliseconds(100)};
/// Hosts met in one round; they tell of the others.
constexpr size_t kMeetAtOnce = 4;

}  // namespace

HostLoop::HostLoop(Fleet& fleet, GossipLoop& gossip)
    : fleet(fleet), gossip(gossip), start(MonotonicNow()) {}

void HostLoop::Step() {
  this->KeepKey(MonotonicNow());
  this->Discover(MonotonicNow());
  fibers::SleepFor(kStep);
}

void HostLoop::KeepKey(Instant now) {
  if (now < this->renew_at) {
    return;
  }
  if (!this->lease.has_value()) {
    this->renew_at =
        MonotonicNow() + (this->Register() ? kRenewInterval : kRetryPause);
    return;
  }
  const auto renewed = this->fleet.store.RenewLease(*this->lease);
  if (!renewed.ok()) {
    this->renew_at = MonotonicNow() + kRetryPause;
    return;
  }
  if (!*renewed) {
    this->lease.reset();
    this->fleet.recorder.Record({.kind = "host_lease_lost"});
    return;
  }
  this->renew_at = MonotonicNow() + kRenewInterval;
}

bool HostLoop::Register() {
  const auto granted = this->fleet.store.GrantLease(kLeaseLife);
  if (!granted.ok()) {
    return false;
  }
  const auto put =
      this->fleet.store.PutLeased(store::HostKey(this->fleet.places.host),
                                  this->fleet.places.zone, *granted);
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
  const bool starting = now - this->start < kStartTime;
  const auto hosts = static_cast<int64_t>(this->fleet.directory.size());
  const bool often = starting || hosts == 1 || !listing.ok();
  this->discover_at =
      MonotonicNow() +
      (often ? kDiscoverAtStart
             : std::max(kDiscoverLater, kDiscoverPerHost * hosts));
  if (!listing.ok()) {
    return;
  }
  std::set<std::string> known;
  for (const auto& record : this->fleet.directory.Present()) {
    known.insert(record.host);
  }
  std::vector<std::string> strangers;
  for (const store::KeyedEntry& entry : listing->entries) {
    const std::string host = entry.key.substr(store::HostKey("").size());
    if (!known.contains(host)) {
      strangers.push_back(host);
    }
  }
  std::shuffle(strangers.begin(), strangers.end(),
               std::mt19937_64{std::random_device{}()});
  strangers.resize(std::min(strangers.size(), kMeetAtOnce));
  for (const std::string& host : strangers) {
    boost::fibers::fiber([this, host] { this->gossip.Meet(host); }).detach();
  }
}

}  // namespace kingcupstair::control
