#include "components/control/gossip_loop.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "components/base/hash.h"
#include "components/fibers/boundary.h"
#include "components/fibers/call_each.h"
#include "components/fibers/worker_pool.h"
#include "components/once/rumor_selection.h"

namespace kingcupstair::control {
namespace {

constexpr Duration kProbeInterval{std::chrono::seconds(1)};
constexpr Duration kProbeTimeout{std::chrono::milliseconds(300)};
constexpr Duration kSyncTimeout{std::chrono::seconds(2)};
constexpr size_t kMaxUpdatesPerMessage = 8;
constexpr size_t kMaxCrashEvidencePerMessage = 32;
constexpr size_t kMaxClearancesPerMessage = 32;
constexpr size_t kMaxIndirectProbes = 3;
constexpr size_t kMaxSpreadTargets = 3;
/// Times that peers are picked until one of them responds.
constexpr int kMaxSpreadRounds = 4;
/// One probe in this many goes to any zone; the others stay in the own zone.
constexpr uint64_t kRoundsPerAnyZoneProbe = 3;
/// One round in this many probes a seed, even if other hosts are known. Without
/// it, hosts that formed two separate groups would never find each other.
constexpr uint64_t kRoundsPerSeedProbe = 10;
/// Consecutive probes with different directory digests but no updates that
/// explain the difference. After this many, all versions are compared.
constexpr int kUnexplainedDifferencesBeforeSync = 3;

}  // namespace

GossipLoop::GossipLoop(Fleet& fleet, uint64_t seed)
    : fleet(fleet), own_zone_prober(seed), prober(seed) {}

void GossipLoop::Step() {
  const Instant start = MonotonicNow();
  const auto dead_hosts = this->fleet.directory.Tick();
  for (const std::string& host : dead_hosts) {
    this->fleet.recorder.Record({.kind = "host_dead", .detail = host});
  }
  if (!dead_hosts.empty()) {
    this->SpreadNow();
  }
  const std::optional<std::string> target = this->NextTarget();
  if (target.has_value() && !this->ExchangeWithRetry(*target)) {
    this->BeginIndirectProbe(*target);
  }
  const Duration elapsed = MonotonicNow() - start;
  fibers::SleepFor(std::max(kProbeInterval - elapsed, Duration(1000)));
}

std::vector<std::string> GossipLoop::Targets() const {
  std::set<std::string> targets;
  for (const auto& record : this->fleet.directory.HostsNotDead()) {
    targets.insert(record.host);
  }
  if (targets.size() <= 1) {
    targets.insert(this->fleet.settings.seeds.begin(),
                   this->fleet.settings.seeds.end());
  }
  targets.erase(this->fleet.settings.host);
  return {targets.begin(), targets.end()};
}

// Traffic between zones costs more than traffic within one zone, and it is
// enough if any host of a zone passes an update on to another zone.
std::optional<std::string> GossipLoop::NextTarget() {
  const std::lock_guard lock(this->mutex);
  ++this->rounds;
  const auto& seeds = this->fleet.settings.seeds;
  if (this->rounds % kRoundsPerSeedProbe == 0 && !seeds.empty()) {
    const std::string& seed =
        seeds[this->rounds / kRoundsPerSeedProbe % seeds.size()];
    if (seed != this->fleet.settings.host) {
      return seed;
    }
  }
  const auto own_zone_targets = this->OwnZoneTargets();
  if (this->rounds % kRoundsPerAnyZoneProbe != 0 && !own_zone_targets.empty()) {
    return this->own_zone_prober.NextTarget(own_zone_targets);
  }
  return this->prober.NextTarget(this->Targets());
}

std::vector<std::string> GossipLoop::OwnZoneTargets() const {
  std::vector<std::string> targets;
  for (const auto& record : this->fleet.directory.HostsNotDead()) {
    if (record.zone == this->fleet.settings.zone &&
        record.host != this->fleet.settings.host) {
      targets.push_back(record.host);
    }
  }
  return targets;
}

std::vector<std::string> GossipLoop::AliveTargets() const {
  const std::vector<std::string> targets = this->Targets();
  std::vector<std::string> alive;
  std::copy_if(targets.begin(), targets.end(), std::back_inserter(alive),
               [this](const std::string& host) {
                 return this->fleet.directory.IsAlive(host);
               });
  return alive.empty() ? targets : alive;
}

bool GossipLoop::Exchange(const std::string& host) {
  const auto reply =
      this->fleet.peers.Gossip(host, this->MakeMessage(host), kProbeTimeout);
  if (!reply.ok()) {
    return false;
  }
  this->fleet.on_reached(host);
  this->MergeMessage(*reply);
  this->ReconcileWith(host, *reply);
  return true;
}

// A retry costs less than suspecting a host because of a few lost packets.
bool GossipLoop::ExchangeWithRetry(const std::string& host) {
  return this->Exchange(host) || this->Exchange(host);
}

// While recent updates explain the difference, they will also remove it. Only a
// persistent unexplained difference justifies a comparison of all versions.
void GossipLoop::ReconcileWith(const std::string& host,
                               const rpc::GossipMessage& reply) {
  const bool differs = reply.digest != this->fleet.directory.Digest();
  const std::vector<uint64_t> outdated =
      differs ? this->fleet.directory.OutdatedAmongRecent(reply.recent)
              : std::vector<uint64_t>();
  this->SendRecords(host, reply.wanted, outdated);
  const bool explained =
      !reply.wanted.empty() || !reply.updates.empty() || !outdated.empty();
  this->unexplained_differences =
      differs && !explained ? this->unexplained_differences + 1 : 0;
  const bool is_only_host = this->fleet.directory.size() == 1;
  if (is_only_host ||
      this->unexplained_differences >= kUnexplainedDifferencesBeforeSync) {
    this->unexplained_differences = 0;
    this->SyncWith(host);
  }
}

void GossipLoop::SendRecords(const std::string& host,
                             const std::vector<uint64_t>& host_hashes,
                             const std::vector<uint64_t>& outdated) {
  if (host_hashes.empty() && outdated.empty()) {
    return;
  }
  rpc::GossipMessage message = this->MakeMessage(host);
  message.updates = this->fleet.directory.FindByHash(host_hashes);
  message.wanted = outdated;
  const auto reply = this->fleet.peers.Gossip(host, message, kSyncTimeout);
  if (reply.ok()) {
    this->MergeMessage(*reply);
  }
}

void GossipLoop::SyncWith(const std::string& host) {
  const auto answer = this->fleet.peers.Sync(
      host, this->fleet.directory.Versions(), kSyncTimeout);
  if (answer.ok()) {
    this->fleet.directory.Merge(answer->updates);
    this->SendRecords(host, answer->wanted, {});
  }
}

// An indirect probe takes longer than the probe interval if the helpers do not
// respond either. News for other hosts must not wait for it.
void GossipLoop::BeginIndirectProbe(const std::string& host) {
  {
    const std::lock_guard lock(this->mutex);
    if (!this->indirectly_probed.insert(host).second) {
      return;
    }
  }
  fibers::Launch("probe a host indirectly", [this, host] {
    fibers::RunContained("probe a host indirectly",
                         [&] { this->ProbeIndirectly(host); });
    const std::lock_guard lock(this->mutex);
    this->indirectly_probed.erase(host);
  });
}

// Only the path from this host may be broken, so other hosts probe `host`
// before it becomes suspect. Or the connections may have gone silent, those to
// the helpers too: by now calls that failed have closed them, and the last
// probe goes over a new one.
void GossipLoop::ProbeIndirectly(const std::string& host) {
  std::vector<std::string> helpers;
  {
    const std::lock_guard lock(this->mutex);
    helpers = this->prober.RandomHostsExcept(this->AliveTargets(), host,
                                             kMaxIndirectProbes);
  }
  for (const std::string& helper : helpers) {
    const auto reached =
        this->fleet.peers.Probe(helper, host, kProbeTimeout * 3);
    if (reached.ok() && *reached) {
      this->fleet.recorder.Record(
          {.kind = "path_cut",
           .detail = absl::StrCat(host, " answers ", helper, " but not here")});
      return;
    }
  }
  if (!this->ExchangeWithRetry(host)) {
    this->fleet.directory.MarkSuspect(host);
  }
}

void GossipLoop::ContactNewHost(const std::string& host) {
  if (!this->Exchange(host)) {
    return;
  }
  const auto present = this->fleet.directory.HostsNotDead();
  const bool known =
      std::any_of(present.begin(), present.end(),
                  [&](const auto& record) { return record.host == host; });
  if (!known) {
    this->SyncWith(host);
  }
}

bool GossipLoop::SendOwnRecord(const std::string& host, Duration timeout) {
  rpc::GossipMessage message = this->MakeMessage(host);
  message.updates =
      this->fleet.directory.FindByHash({StableHash(this->fleet.settings.host)});
  return this->fleet.peers.Gossip(host, message, timeout).ok();
}

bool GossipLoop::CanReach(const std::string& host) {
  return this->fleet.peers.Gossip(host, this->MakeMessage(host), kProbeTimeout)
      .ok();
}

// A host that all others miss with their random picks is told by the one before
// it. Peers that are paused or cut off count as alive for some seconds, so all
// that were picked may be silent.
void GossipLoop::SpreadNow() {
  int responded = 0;
  for (int round = 0; responded == 0 && round < kMaxSpreadRounds; ++round) {
    std::vector<std::string> targets;
    {
      const std::lock_guard lock(this->mutex);
      targets = this->prober.HostsToTell(
          this->AliveTargets(), this->fleet.settings.host, kMaxSpreadTargets);
    }
    responded = fibers::CallEach(targets, [this](const std::string& target) {
      return this->ExchangeWithRetry(target);
    });
  }
}

rpc::GossipMessage GossipLoop::OnGossip(const rpc::GossipMessage& message) {
  this->MergeMessage(message);
  rpc::GossipMessage reply = this->MakeMessage(message.host);
  if (reply.digest != message.digest) {
    reply.wanted = this->fleet.directory.OutdatedAmongRecent(message.recent);
    reply.updates = this->fleet.directory.RecentUpdatesNewerThan(
        message.recent, kMaxUpdatesPerMessage);
  }
  const auto asked_for = this->fleet.directory.FindByHash(message.wanted);
  reply.updates.insert(reply.updates.end(), asked_for.begin(), asked_for.end());
  return reply;
}

std::optional<std::string> GossipLoop::TakePeerWithNewerRevision() {
  const std::lock_guard lock(this->mutex);
  auto& peers = this->peers_with_newer_revision;
  peers.erase(peers.begin(), peers.upper_bound(this->fleet.config.Revision()));
  if (peers.empty()) {
    return std::nullopt;
  }
  return peers.extract(std::prev(peers.end())).mapped();
}

rpc::GossipMessage GossipLoop::MakeMessage(const std::string& receiver) {
  const Instant now = MonotonicNow();
  const uint64_t round = this->messages_made++;
  return {.host = this->fleet.settings.host,
          .digest = this->fleet.directory.Digest(),
          .revision = this->fleet.config.Revision(),
          .store_era = this->fleet.store.era(),
          .recent = this->fleet.directory.RecentVersions(),
          .loads = this->fleet.directory.IsInOwnZone(receiver)
                       ? this->fleet.directory.RecentLoads()
                       : std::vector<membership::LoadUpdate>(),
          .crashes = once::SelectRumors(this->fleet.crashes.Current(now),
                                        kMaxCrashEvidencePerMessage, round),
          .clearances = once::SelectRumors(this->fleet.crashes.Clearances(now),
                                           kMaxClearancesPerMessage, round)};
}

void GossipLoop::MergeMessage(const rpc::GossipMessage& message) {
  const Instant now = MonotonicNow();
  this->fleet.isolation.RecordContact(now);
  this->fleet.store.RecordEra(message.store_era);
  this->fleet.directory.Merge(message.updates);
  this->fleet.directory.MergeLoads(message.loads);
  for (const once::AgedEvidence& cleared : message.clearances) {
    this->fleet.crashes.AddClearance(cleared.evidence, cleared.age, now);
  }
  for (const once::AgedEvidence& crash : message.crashes) {
    if (this->fleet.crashes.Add(crash.evidence, crash.age, now)) {
      this->fleet.recorder.Record(
          {.kind = "crash_evidence_received",
           .upstream = crash.evidence.upstream,
           .detail = absl::StrCat("fingerprint ", crash.evidence.fingerprint,
                                  ", from ", message.host, ", ",
                                  ToMillisRoundedUp(crash.age), " ms old")});
    }
  }
  if (message.revision > this->fleet.config.Revision()) {
    const std::lock_guard lock(this->mutex);
    auto& peers = this->peers_with_newer_revision;
    std::erase_if(
        peers, [&](const auto& peer) { return peer.second == message.host; });
    peers.emplace(message.revision, message.host);
  }
}

}  // namespace kingcupstair::control
