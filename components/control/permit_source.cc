#include "components/control/permit_source.h"

namespace kingcupstair::control {
namespace {

constexpr Duration kAcquireTimeout{std::chrono::milliseconds(200)};
constexpr Duration kRelayTimeout{std::chrono::milliseconds(300)};
/// A pool that did not answer is asked through others for this long.
constexpr Duration kLostTime{std::chrono::seconds(1)};
constexpr Duration kDistrustTime{std::chrono::seconds(3)};

}  // namespace

PermitSource::PermitSource(Fleet& fleet) : fleet(fleet) {}

void PermitSource::UpdatePoolHosts() {
  const auto hosts = this->fleet.directory.PoolHosts(this->fleet.places.region);
  PoolHosts updated;
  for (limits::ShardId shard = 0; shard < limits::kShardCount; ++shard) {
    updated[static_cast<size_t>(shard)] =
        limits::PoolHostOf(shard, hosts).value_or(this->fleet.places.host);
  }
  this->pool_hosts.Publish(std::move(updated));
}

limits::LoanGrant PermitSource::Lend(limits::ShardId shard,
                                     const std::string& asker) {
  const auto hosts = this->pool_hosts.Read();
  if ((*hosts)[static_cast<size_t>(shard)] != asker) {
    return {};
  }
  return this->fleet.rates.Lend(shard, asker);
}

const std::string PermitSource::PoolOf(const std::string& organisation) const {
  return (*this->pool_hosts
               .Read())[static_cast<size_t>(limits::ShardOf(organisation))];
}

limits::PermitGrant PermitSource::Acquire(const std::string& organisation) {
  const std::string pool = this->PoolOf(organisation);
  if (!this->IsLostNow(pool)) {
    const auto grant = this->AcquireFromPool(organisation);
    if (grant.ok() && grant->life > Duration{}) {
      return *grant;
    }
    this->NoteLost(pool);
  }
  const auto relayed = this->AcquireThroughOther(organisation, pool);
  if (relayed.ok() && relayed->life > Duration{}) {
    return *relayed;
  }
  if (relayed.ok()) {
    this->Suspect(pool);
  }
  this->fleet.rates.Distrust(pool, kDistrustTime);
  return this->fleet.rates.AcquireFromOwnShare(organisation, 1);
}

absl::StatusOr<limits::PermitGrant> PermitSource::AcquireFromPool(
    const std::string& organisation) {
  const std::string pool = this->PoolOf(organisation);
  if (pool == this->fleet.places.host) {
    return this->fleet.rates.Acquire(organisation, 1);
  }
  return this->fleet.peers.Acquire(pool, organisation, 1, /*relay=*/false,
                                   kAcquireTimeout);
}

// The path from here to the pool may be cut while others reach it.
absl::StatusOr<limits::PermitGrant> PermitSource::AcquireThroughOther(
    const std::string& organisation,
    const std::string& pool) {
  auto hosts = this->fleet.directory.PoolHosts(this->fleet.places.region);
  std::erase_if(hosts, [&](const std::string& host) {
    return host == pool || host == this->fleet.places.host;
  });
  if (hosts.empty()) {
    return absl::UnavailableError("no other host to ask through");
  }
  size_t index = 0;
  {
    const std::lock_guard lock(this->mutex);
    index = std::uniform_int_distribution<size_t>(
        0, hosts.size() - 1)(this->random);
  }
  return this->fleet.peers.Acquire(hosts[index], organisation, 1,
                                   /*relay=*/true, kRelayTimeout);
}

// Neither this host nor another gets a word from the pool. Waiting until probes
// find that out would leave all organisations without permits for seconds.
void PermitSource::Suspect(const std::string& pool) {
  if (this->fleet.directory.IsAlive(pool)) {
    this->fleet.directory.Suspect(pool);
    this->fleet.recorder.Record({.kind = "pool_suspected", .detail = pool});
    this->fleet.spread_news();
  }
}

bool PermitSource::IsLostNow(const std::string& pool) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->lost.find(pool);
  return found != this->lost.end() && MonotonicNow() < found->second;
}

void PermitSource::NoteLost(const std::string& pool) {
  const std::lock_guard lock(this->mutex);
  this->lost[pool] = MonotonicNow() + kLostTime;
}

}  // namespace kingcupstair::control
