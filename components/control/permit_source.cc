#include "components/control/permit_source.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "absl/strings/str_join.h"

namespace kingcupstair::control {
namespace {

constexpr Duration kAcquireTimeout{std::chrono::milliseconds(200)};
constexpr Duration kRelayTimeout{std::chrono::milliseconds(300)};
/// A pool that did not answer is asked through others for this long.
constexpr Duration kLostTime{std::chrono::seconds(1)};
constexpr Duration kDistrustTime{std::chrono::seconds(3)};
/// Other hosts through which a pool is asked, and that must all find it silent
/// before it is suspected: when a third of the hosts have a bad path to it, six
/// picked at random all have one in less than one case of a thousand.
constexpr size_t kRelays = 6;
/// A pool that nobody has reached for this long is no longer lent to: longer
/// than some lost packets take, shorter than a failure detector's time.
constexpr Duration kUnreachedBeforeDistrust{std::chrono::milliseconds(800)};
/// Between offers to one pool: several in the life of a loan.
constexpr Duration kOfferPause{std::chrono::milliseconds(100)};

}  // namespace

PermitSource::PermitSource(Fleet& fleet) : fleet(fleet) {}

void PermitSource::UpdatePoolHosts() {
  const auto hosts = this->fleet.directory.PoolHosts(this->fleet.places.region);
  PoolHosts updated;
  for (limits::ShardId shard = 0; shard < limits::kShardCount; ++shard) {
    updated[static_cast<size_t>(shard)] =
        limits::PoolHostOf(shard, hosts).value_or(this->fleet.places.host);
  }
  this->fleet.rates.SetPools(limits::PoolCount(this->fleet.directory.size()));
  this->RecordChange(*this->pool_hosts.Read(), updated);
  this->pool_hosts.Publish(std::move(updated));
}

void PermitSource::RecordChange(const PoolHosts& before,
                                const PoolHosts& after) const {
  const std::set<std::string> old(before.begin(), before.end());
  const std::set<std::string> now(after.begin(), after.end());
  if (old != now) {
    this->fleet.recorder.Record(
        {.kind = "pools_moved", .detail = absl::StrJoin(now, " ")});
  }
}

limits::LoanGrant PermitSource::Lend(limits::ShardId shard,
                                     const std::string& asker,
                                     uint64_t mark) {
  const auto hosts = this->pool_hosts.Read();
  if ((*hosts)[static_cast<size_t>(shard)] != asker) {
    return {};
  }
  return this->fleet.rates.Lend(shard, asker, mark);
}

// What is not pooled here would be given back at once.
void PermitSource::TakeOffer(const std::string& lender,
                             const limits::LoanOffer& offer) {
  const auto hosts = this->pool_hosts.Read();
  limits::LoanOffer taken = offer;
  std::erase_if(taken.shards, [&](const limits::ShardId shard) {
    return (*hosts)[static_cast<size_t>(shard)] != this->fleet.places.host;
  });
  if (!taken.shards.empty()) {
    this->fleet.rates.TakeOffer(lender, taken);
  }
}

const std::string PermitSource::PoolOf(const std::string& organisation) const {
  return (*this->pool_hosts
               .Read())[static_cast<size_t>(limits::ShardOf(organisation))];
}

// The own share can be spent here once its loan to the pool has run out. Other
// hosts come last: they may reach the pool, or know of another one.
limits::PermitGrant PermitSource::Acquire(const std::string& organisation,
                                          const std::string& service) {
  const std::string pool = this->PoolOf(organisation);
  if (!this->IsLostNow(pool)) {
    const auto grant = this->AcquireFromPool(organisation, service);
    if (grant.ok() && !grant->pools_nothing) {
      return *grant;
    }
  }
  if (this->IsUnreached(pool)) {
    this->fleet.rates.Distrust(pool, kDistrustTime);
  }
  const auto own = this->fleet.rates.AcquireFromOwnShare(organisation, 1);
  if (own.granted > 0) {
    return own;
  }
  return this
      ->AcquireThroughOthers(
          {.organisation = organisation, .service = service, .relay = true},
          pool)
      .value_or(own);
}

limits::PermitGrant PermitSource::AcquireForOther(
    const std::string& organisation,
    const std::string& service) {
  if (this->IsLostNow(this->PoolOf(organisation))) {
    return {.pool_silent = true};
  }
  return this->AcquireFromPool(organisation, service)
      .value_or(limits::PermitGrant{.pool_silent = true});
}

bool PermitSource::TryRetry(const rpc::RetryCall& call) {
  const std::string pool = this->PoolOf(call.organisation);
  if (pool == this->fleet.places.host) {
    return this->fleet.rates.TryRetry(call);
  }
  if (this->IsLostNow(pool)) {
    return false;
  }
  const auto granted = this->fleet.peers.Retry(pool, call, kAcquireTimeout);
  if (!granted.ok()) {
    this->NoteLost(pool);
  }
  return granted.value_or(false);
}

absl::StatusOr<limits::PermitGrant> PermitSource::AcquireFromPool(
    const std::string& organisation,
    const std::string& service) {
  const std::string pool = this->PoolOf(organisation);
  if (pool == this->fleet.places.host) {
    return this->fleet.rates.Acquire(organisation, service, 1);
  }
  auto grant = this->fleet.peers.Acquire(pool,
                                         {.organisation = organisation,
                                          .service = service,
                                          .offer = this->OfferTo(pool)},
                                         kAcquireTimeout);
  if (grant.ok()) {
    this->NoteReached(pool);
    this->NoteMark(pool, grant->mark);
  } else {
    this->NoteLost(pool);
  }
  return grant;
}

// A loan that goes with an ask for permits saves the pool an ask of its own.
limits::LoanOffer PermitSource::OfferTo(const std::string& pool) {
  uint64_t mark = 0;
  {
    const std::lock_guard lock(this->mutex);
    Mark& known = this->marks[pool];
    const Instant now = MonotonicNow();
    if (known.mark == 0 || now - known.offered < kOfferPause) {
      return {};
    }
    known.offered = now;
    mark = std::exchange(known.mark, 0);
  }
  std::vector<limits::ShardId> shards;
  const auto hosts = this->pool_hosts.Read();
  for (limits::ShardId shard = 0; shard < limits::kShardCount; ++shard) {
    if ((*hosts)[static_cast<size_t>(shard)] == pool) {
      shards.push_back(shard);
    }
  }
  return this->fleet.rates.Offer(shards, pool, mark);
}

void PermitSource::NoteMark(const std::string& pool, uint64_t mark) {
  const std::lock_guard lock(this->mutex);
  this->marks[pool].mark = mark;
}

// The path from here to the pool may be cut while others reach it. The pool is
// suspected when all that were asked found it silent: one of them may merely
// have a bad path to it as well.
absl::StatusOr<limits::PermitGrant> PermitSource::AcquireThroughOthers(
    const rpc::PermitCall& call,
    const std::string& pool) {
  size_t found_silent = 0;
  const std::vector<std::string> relays = this->ChooseRelays(pool);
  for (const std::string& relay : relays) {
    const auto grant = this->fleet.peers.Acquire(relay, call, kRelayTimeout);
    if (grant.ok() && !grant->pool_silent && !grant->pools_nothing) {
      return *grant;
    }
    found_silent += grant.ok() && grant->pool_silent ? 1 : 0;
  }
  if (!relays.empty() && found_silent == relays.size()) {
    this->Suspect(pool);
  }
  return absl::UnavailableError("no host got a permit from a pool");
}

std::vector<std::string> PermitSource::ChooseRelays(const std::string& pool) {
  auto hosts = this->fleet.directory.PoolHosts(this->fleet.places.region);
  std::erase_if(hosts, [&](const limits::PoolCandidate& candidate) {
    return candidate.host == pool || candidate.host == this->fleet.places.host;
  });
  std::vector<limits::PoolCandidate> chosen;
  {
    const std::lock_guard lock(this->mutex);
    std::sample(hosts.begin(), hosts.end(), std::back_inserter(chosen), kRelays,
                this->random);
  }
  std::vector<std::string> relays;
  for (limits::PoolCandidate& candidate : chosen) {
    relays.push_back(std::move(candidate.host));
  }
  return relays;
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
  const Instant now = MonotonicNow();
  this->lost[pool] = now + kLostTime;
  this->unreached_since.emplace(pool, now);
}

void PermitSource::NoteReached(const std::string& pool) {
  const std::lock_guard lock(this->mutex);
  this->unreached_since.erase(pool);
}

bool PermitSource::IsUnreached(const std::string& pool) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->unreached_since.find(pool);
  return found != this->unreached_since.end() &&
         MonotonicNow() - found->second >= kUnreachedBeforeDistrust;
}

}  // namespace kingcupstair::control
