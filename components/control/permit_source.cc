#include "components/control/permit_source.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "absl/strings/str_join.h"
#include "components/control/loan_loop.h"
#include "components/once/run_request.h"

namespace kingcupstair::control {
namespace {

constexpr Duration kAcquireTimeout{std::chrono::milliseconds(200)};
/// A pool host in the region answers a check over a new connection within this
/// time: three round trips and a wake-up.
constexpr Duration kCheckTimeout{std::chrono::milliseconds(100)};
constexpr Duration kRelayTimeout{std::chrono::milliseconds(300)};
/// After a failed call, permits are requested through other hosts and not from
/// the pool host directly for this long.
constexpr Duration kFailureBackoff{std::chrono::seconds(1)};
constexpr Duration kLoanSuspension{std::chrono::seconds(3)};
/// The number of other hosts through which permits are requested. All of them
/// must report no response from the pool host before it becomes suspect. If a
/// third of the hosts have a broken path to it, six hosts picked at random all
/// have one in less than one case in a thousand.
constexpr size_t kMaxRelays = 6;
/// A pool host gets no more loans from this host after it has not responded to
/// this host for this long: longer than the effect of a few lost packets,
/// shorter than the time to detect a failed host.
constexpr Duration kUnreachableBeforeSuspension{std::chrono::milliseconds(800)};
/// The interval between offers to one pool host: a loan's lifetime covers
/// several offers.
constexpr Duration kOfferInterval{std::chrono::milliseconds(100)};

}  // namespace

PermitSource::PermitSource(Fleet& fleet) : fleet(fleet) {}

void PermitSource::UpdatePoolHosts() {
  const auto hosts = PoolCandidates(this->fleet);
  PoolHosts updated;
  for (limits::ShardId shard = 0; shard < limits::kShardCount; ++shard) {
    updated[static_cast<size_t>(shard)] =
        limits::PoolHostOf(shard, hosts).value_or(this->fleet.settings.host);
  }
  this->fleet.rates.SetPoolCount(
      limits::PoolCount(this->fleet.directory.size()));
  this->RecordPoolHostChange(*this->pool_hosts.Read(), updated);
  this->pool_hosts.Publish(std::move(updated));
}

void PermitSource::RecordPoolHostChange(const PoolHosts& before,
                                        const PoolHosts& after) const {
  const std::set<std::string> old_hosts(before.begin(), before.end());
  const std::set<std::string> new_hosts(after.begin(), after.end());
  if (old_hosts != new_hosts) {
    this->fleet.recorder.Record(
        {.kind = "pools_moved", .detail = absl::StrJoin(new_hosts, " ")});
  }
}

limits::LoanGrant PermitSource::Lend(limits::ShardId shard,
                                     const std::string& borrower,
                                     uint64_t loan_sequence) {
  const auto hosts = this->pool_hosts.Read();
  if ((*hosts)[static_cast<size_t>(shard)] != borrower) {
    return {};
  }
  return this->fleet.rates.Lend(shard, borrower, loan_sequence);
}

// Shards that this host does not pool are left out, because their loans would
// be returned at once.
void PermitSource::AcceptOffer(const std::string& lender,
                               const limits::LoanOffer& offer) {
  const auto hosts = this->pool_hosts.Read();
  limits::LoanOffer accepted = offer;
  std::erase_if(accepted.shards, [&](const limits::ShardId shard) {
    return (*hosts)[static_cast<size_t>(shard)] != this->fleet.settings.host;
  });
  if (!accepted.shards.empty()) {
    this->fleet.rates.AcceptOffer(lender, accepted);
  }
}

const std::string PermitSource::PoolHostFor(
    const std::string& organisation) const {
  return (*this->pool_hosts
               .Read())[static_cast<size_t>(limits::ShardOf(organisation))];
}

// The own share can be spent here once its loan to the pool host has expired.
// Other hosts are tried last: they may reach the pool host, or may have
// computed a different one.
limits::PermitGrant PermitSource::Acquire(const std::string& organisation,
                                          const std::string& service) {
  const std::string pool_host = this->PoolHostFor(organisation);
  if (!this->IsInBackoff(pool_host)) {
    const auto grant = this->AcquireFromPool(organisation, service);
    if (grant.ok() && !grant->has_no_loans) {
      return *grant;
    }
  }
  if (this->IsLongUnreachable(pool_host)) {
    this->fleet.rates.SuspendLoansTo(pool_host, kLoanSuspension);
  }
  const auto own = this->fleet.rates.AcquireFromOwnShare(organisation, 1);
  if (own.granted > 0) {
    return own;
  }
  return this
      ->AcquireThroughRelays(
          {.organisation = organisation, .service = service, .relay = true},
          pool_host)
      .value_or(own);
}

limits::PermitGrant PermitSource::AcquireForPeer(
    const std::string& organisation,
    const std::string& service) {
  if (this->IsInBackoff(this->PoolHostFor(organisation))) {
    return {.pool_host_unresponsive = true};
  }
  return this->AcquireFromPool(organisation, service)
      .value_or(limits::PermitGrant{.pool_host_unresponsive = true});
}

// All requests without an organisation would draw on the budget of one pool,
// where there are several. Those of one host draw on the same one.
bool PermitSource::TryRetry(const rpc::RetryTokenRequest& call) {
  rpc::RetryTokenRequest reporting = call;
  if (call.organisation == once::kNoOrganisation) {
    reporting.organisation = this->fleet.settings.host;
  }
  const std::string pool_host = this->PoolHostFor(reporting.organisation);
  if (this->IsInBackoff(pool_host)) {
    return false;
  }
  reporting.call_counts = this->TakeCallCounts();
  if (pool_host == this->fleet.settings.host) {
    return this->fleet.rates.TryRetry(reporting);
  }
  const auto granted = this->CallPool<bool>(pool_host, [&] {
    return this->fleet.peers.AcquireRetryToken(pool_host, reporting,
                                               kAcquireTimeout);
  });
  if (!granted.ok()) {
    this->RecordFailure(pool_host);
    this->RestoreCallCounts(reporting.call_counts);
  }
  return granted.value_or(false);
}

// The connection to the pool host may have gone silent while the host runs. A
// host that was taken for silent would give the pool to another one, and nobody
// would have permits until the loans have moved.
template <typename T, typename PoolCall>
absl::StatusOr<T> PermitSource::CallPool(const std::string& pool_host,
                                         PoolCall call) {
  auto result = call();
  if (!result.ok() &&
      this->fleet.peers.RespondsOverNewConnection(pool_host, kCheckTimeout)) {
    result = call();
  }
  return result;
}

void PermitSource::CountCall(const std::string& caller,
                             const std::string& service,
                             double repeat_probability) {
  this->AddCallCounts({.caller = caller,
                       .service = service,
                       .calls = 1,
                       .by_retries = repeat_probability});
}

void PermitSource::AddCallCounts(const retry::CallCounts& counts) {
  const std::lock_guard lock(this->mutex);
  retry::CallCounts& sum =
      this->call_counts
          .try_emplace({counts.caller, counts.service},
                       retry::CallCounts{.caller = counts.caller,
                                         .service = counts.service})
          .first->second;
  sum.calls += counts.calls;
  sum.by_retries += counts.by_retries;
}

std::vector<retry::CallCounts> PermitSource::TakeCallCounts() {
  std::vector<retry::CallCounts> taken;
  const std::lock_guard lock(this->mutex);
  for (const auto& [services, counts] : this->call_counts) {
    taken.push_back(counts);
  }
  this->call_counts.clear();
  return taken;
}

void PermitSource::RestoreCallCounts(
    const std::vector<retry::CallCounts>& counts) {
  for (const retry::CallCounts& each : counts) {
    this->AddCallCounts(each);
  }
}

absl::StatusOr<limits::PermitGrant> PermitSource::AcquireFromPool(
    const std::string& organisation,
    const std::string& service) {
  const std::string pool_host = this->PoolHostFor(organisation);
  const auto call_counts = this->TakeCallCounts();
  if (pool_host == this->fleet.settings.host) {
    this->fleet.rates.CountCalls(organisation, call_counts);
    return this->fleet.rates.Acquire(organisation, service, 1);
  }
  const auto grant = this->CallPool<limits::PermitGrant>(pool_host, [&] {
    return this->fleet.peers.Acquire(pool_host,
                                     {.organisation = organisation,
                                      .service = service,
                                      .offer = this->MakeOfferTo(pool_host),
                                      .call_counts = call_counts},
                                     kAcquireTimeout);
  });
  if (grant.ok()) {
    this->RecordSuccess(pool_host);
    this->StoreLoanSequence(pool_host, grant->loan_sequence_number);
  } else {
    this->RecordFailure(pool_host);
    this->RestoreCallCounts(call_counts);
  }
  return grant;
}

// A loan offered with a permit request saves the pool host a loan request.
limits::LoanOffer PermitSource::MakeOfferTo(const std::string& pool_host) {
  uint64_t loan_sequence = 0;
  {
    const std::lock_guard lock(this->mutex);
    OfferState& state = this->offer_states[pool_host];
    const Instant now = MonotonicNow();
    if (state.loan_sequence == 0 || now - state.last_offer < kOfferInterval) {
      return {};
    }
    state.last_offer = now;
    loan_sequence = std::exchange(state.loan_sequence, 0);
  }
  std::vector<limits::ShardId> shards;
  const auto hosts = this->pool_hosts.Read();
  for (limits::ShardId shard = 0; shard < limits::kShardCount; ++shard) {
    if ((*hosts)[static_cast<size_t>(shard)] == pool_host) {
      shards.push_back(shard);
    }
  }
  return this->fleet.rates.MakeOffer(shards, pool_host, loan_sequence);
}

void PermitSource::StoreLoanSequence(const std::string& pool_host,
                                     uint64_t loan_sequence) {
  const std::lock_guard lock(this->mutex);
  this->offer_states[pool_host].loan_sequence = loan_sequence;
}

// The path from this host to the pool host may be broken while other hosts
// reach it. The pool host becomes suspect only if all relays report no response
// from it, because the path of a single relay may be broken as well.
absl::StatusOr<limits::PermitGrant> PermitSource::AcquireThroughRelays(
    const rpc::PermitRequest& call,
    const std::string& pool_host) {
  size_t unreached_count = 0;
  const std::vector<std::string> relays = this->ChooseRelays(pool_host);
  for (const std::string& relay : relays) {
    const auto grant = this->fleet.peers.Acquire(relay, call, kRelayTimeout);
    if (grant.ok() && !grant->pool_host_unresponsive && !grant->has_no_loans) {
      return *grant;
    }
    unreached_count += grant.ok() && grant->pool_host_unresponsive ? 1 : 0;
  }
  if (!relays.empty() && unreached_count == relays.size()) {
    this->SuspectPoolHost(pool_host);
  }
  return absl::UnavailableError(
      "no relay obtained a permit from the pool host");
}

std::vector<std::string> PermitSource::ChooseRelays(
    const std::string& pool_host) {
  auto hosts = this->fleet.directory.PoolHosts(this->fleet.settings.region);
  std::erase_if(hosts, [&](const limits::PoolCandidate& candidate) {
    return candidate.host == pool_host ||
           candidate.host == this->fleet.settings.host;
  });
  std::vector<limits::PoolCandidate> chosen;
  {
    const std::lock_guard lock(this->mutex);
    std::sample(hosts.begin(), hosts.end(), std::back_inserter(chosen),
                kMaxRelays, this->random);
  }
  std::vector<std::string> relays;
  for (limits::PoolCandidate& candidate : chosen) {
    relays.push_back(std::move(candidate.host));
  }
  return relays;
}

// Neither this host nor a relay gets a response from the pool host. Detection
// by probes would leave all organisations without permits for seconds.
void PermitSource::SuspectPoolHost(const std::string& pool_host) {
  if (this->fleet.directory.IsAlive(pool_host)) {
    this->fleet.directory.MarkSuspect(pool_host);
    this->fleet.recorder.Record(
        {.kind = "pool_suspected", .detail = pool_host});
    this->fleet.spread_updates();
  }
}

bool PermitSource::IsInBackoff(const std::string& pool_host) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->backoff_until.find(pool_host);
  return found != this->backoff_until.end() && MonotonicNow() < found->second;
}

void PermitSource::RecordFailure(const std::string& pool_host) {
  const std::lock_guard lock(this->mutex);
  const Instant now = MonotonicNow();
  this->backoff_until[pool_host] = now + kFailureBackoff;
  this->unreachable_since.emplace(pool_host, now);
}

void PermitSource::RecordSuccess(const std::string& pool_host) {
  const std::lock_guard lock(this->mutex);
  this->unreachable_since.erase(pool_host);
}

bool PermitSource::IsLongUnreachable(const std::string& pool_host) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->unreachable_since.find(pool_host);
  return found != this->unreachable_since.end() &&
         MonotonicNow() - found->second >= kUnreachableBeforeSuspension;
}

}  // namespace kingcupstair::control
