#include "components/control/permit_source.h"

namespace kingcupstair::control {
namespace {

constexpr Duration kAcquireTimeout{std::chrono::milliseconds(200)};
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

limits::PermitGrant PermitSource::Acquire(const std::string& organisation) {
  const auto hosts = this->pool_hosts.Read();
  const std::string& pool =
      (*hosts)[static_cast<size_t>(limits::ShardOf(organisation))];
  if (pool == this->fleet.places.host) {
    return this->fleet.rates.Acquire(organisation, 1);
  }
  const auto grant =
      this->fleet.peers.Acquire(pool, organisation, 1, kAcquireTimeout);
  if (grant.ok()) {
    return *grant;
  }
  this->fleet.rates.Distrust(pool, kDistrustTime);
  return this->fleet.rates.AcquireFromOwnShare(organisation, 1);
}

}  // namespace kingcupstair::control
