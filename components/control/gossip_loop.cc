#include "components/control/gossip_loop.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "components/fibers/worker_pool.h"

namespace kingcupstair::control {
namespace {

constexpr Duration kPeriod{std::chrono::seconds(1)};
constexpr Duration kProbeTimeout{std::chrono::milliseconds(300)};
constexpr Duration kSyncTimeout{std::chrono::seconds(2)};
constexpr size_t kUpdatesPerMessage = 8;
constexpr size_t kCrashesPerMessage = 16;
constexpr size_t kHelpers = 3;
constexpr size_t kSpreadTargets = 3;
/// One probe in so many goes to any zone, the others stay in the own one.
constexpr uint64_t kRoundsPerFarProbe = 3;
/// One round in so many goes to a seed, whatever else is known: hosts that met
/// in two groups would not find each other, since each group knows enough.
constexpr uint64_t kRoundsPerSeed = 10;
/// Probes in a row that found a peer knowing something else for no reason told,
/// after which all versions are compared.
constexpr int kUnexplainedRoundsBeforeSync = 3;

}  // namespace

GossipLoop::GossipLoop(Fleet& fleet, uint64_t seed)
    : fleet(fleet), near_prober(seed), prober(seed) {}

void GossipLoop::Step() {
  const Instant start = MonotonicNow();
  const auto died = this->fleet.directory.Tick();
  for (const std::string& host : died) {
    this->fleet.recorder.Record({.kind = "host_dead", .detail = host});
  }
  if (!died.empty()) {
    this->SpreadNow();
  }
  const std::optional<std::string> target = this->NextTarget();
  if (target.has_value() && !this->ExchangeTwice(*target)) {
    this->AskHelpers(*target);
  }
  const Duration spent = MonotonicNow() - start;
  fibers::SleepFor(std::max(kPeriod - spent, Duration(1000)));
}

std::vector<std::string> GossipLoop::Targets() const {
  std::set<std::string> targets;
  for (const auto& record : this->fleet.directory.Present()) {
    targets.insert(record.host);
  }
  if (targets.size() <= 1) {
    targets.insert(this->fleet.places.seeds.begin(),
                   this->fleet.places.seeds.end());
  }
  targets.erase(this->fleet.places.host);
  return {targets.begin(), targets.end()};
}

// Bytes between zones cost more than those within one, and news crosses with
// any of a zone's hosts.
std::optional<std::string> GossipLoop::NextTarget() {
  const std::lock_guard lock(this->mutex);
  ++this->rounds;
  const auto& seeds = this->fleet.places.seeds;
  if (this->rounds % kRoundsPerSeed == 0 && !seeds.empty()) {
    const std::string& seed =
        seeds[this->rounds / kRoundsPerSeed % seeds.size()];
    if (seed != this->fleet.places.host) {
      return seed;
    }
  }
  const auto near = this->TargetsOfOwnZone();
  if (this->rounds % kRoundsPerFarProbe != 0 && !near.empty()) {
    return this->near_prober.Next(near);
  }
  return this->prober.Next(this->Targets());
}

std::vector<std::string> GossipLoop::TargetsOfOwnZone() const {
  std::vector<std::string> targets;
  for (const auto& record : this->fleet.directory.Present()) {
    if (record.zone == this->fleet.places.zone &&
        record.host != this->fleet.places.host) {
      targets.push_back(record.host);
    }
  }
  return targets;
}

bool GossipLoop::Exchange(const std::string& host) {
  const auto reply =
      this->fleet.peers.Gossip(host, this->MakeMessage(), kProbeTimeout);
  if (!reply.ok()) {
    return false;
  }
  this->fleet.on_reached(host);
  this->TakeIn(*reply);
  this->CompareWith(host, *reply);
  return true;
}

// A second try costs less than a host suspected for a few lost packets.
bool GossipLoop::ExchangeTwice(const std::string& host) {
  return this->Exchange(host) || this->Exchange(host);
}

// As long as changes told of lately explain the difference, they will even it
// out; only a difference that stays unexplained is worth comparing all.
void GossipLoop::CompareWith(const std::string& host,
                             const rpc::GossipMessage& reply) {
  this->Tell(host, reply.wanted);
  const bool unlike = reply.digest != this->fleet.directory.Digest();
  const bool explained = !reply.wanted.empty() || !reply.updates.empty();
  this->rounds_unexplained =
      unlike && !explained ? this->rounds_unexplained + 1 : 0;
  const bool alone = this->fleet.directory.size() == 1;
  if (alone || this->rounds_unexplained >= kUnexplainedRoundsBeforeSync) {
    this->rounds_unexplained = 0;
    this->SyncWith(host);
  }
}

void GossipLoop::Tell(const std::string& host,
                      const std::vector<uint64_t>& wanted) {
  if (wanted.empty()) {
    return;
  }
  rpc::GossipMessage message = this->MakeMessage();
  message.updates = this->fleet.directory.FindByHash(wanted);
  this->fleet.peers.Gossip(host, message, kSyncTimeout).status().IgnoreError();
}

void GossipLoop::SyncWith(const std::string& host) {
  const auto answer = this->fleet.peers.Sync(
      host, this->fleet.directory.Versions(), kSyncTimeout);
  if (answer.ok()) {
    this->fleet.directory.Merge(answer->updates);
    this->Tell(host, answer->wanted);
  }
}

// The path from here may be cut while the host is well, so others are asked
// before it is suspected.
void GossipLoop::AskHelpers(const std::string& host) {
  std::vector<std::string> helpers;
  {
    const std::lock_guard lock(this->mutex);
    helpers = this->prober.Helpers(this->Targets(), host, kHelpers);
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
  this->fleet.directory.Suspect(host);
}

void GossipLoop::Meet(const std::string& host) {
  if (!this->Exchange(host)) {
    return;
  }
  const auto present = this->fleet.directory.Present();
  const bool known =
      std::any_of(present.begin(), present.end(),
                  [&](const auto& record) { return record.host == host; });
  if (!known) {
    this->SyncWith(host);
  }
}

bool GossipLoop::Reaches(const std::string& host) {
  return this->fleet.peers.Gossip(host, this->MakeMessage(), kProbeTimeout)
      .ok();
}

void GossipLoop::SpreadNow() {
  std::vector<std::string> targets;
  {
    const std::lock_guard lock(this->mutex);
    targets = this->prober.Helpers(this->Targets(), "", kSpreadTargets);
  }
  for (const std::string& target : targets) {
    this->Exchange(target);
  }
}

rpc::GossipMessage GossipLoop::OnGossip(const rpc::GossipMessage& message) {
  this->TakeIn(message);
  rpc::GossipMessage reply = this->MakeMessage();
  if (reply.digest != message.digest) {
    reply.wanted = this->fleet.directory.Lacking(message.recent);
    reply.updates = this->fleet.directory.RecentUpdatesFor(message.recent,
                                                           kUpdatesPerMessage);
  }
  return reply;
}

std::string GossipLoop::TakePeerAhead() {
  const std::lock_guard lock(this->mutex);
  return std::exchange(this->peer_ahead, "");
}

rpc::GossipMessage GossipLoop::MakeMessage() const {
  auto crashes = this->fleet.crashes.Current(MonotonicNow());
  crashes.resize(std::min(crashes.size(), kCrashesPerMessage));
  return {.host = this->fleet.places.host,
          .digest = this->fleet.directory.Digest(),
          .revision = this->fleet.config.Revision(),
          .recent = this->fleet.directory.Recent(),
          .crashes = std::move(crashes)};
}

void GossipLoop::TakeIn(const rpc::GossipMessage& message) {
  const Instant now = MonotonicNow();
  this->fleet.isolation.OnHeard(now);
  this->fleet.directory.Merge(message.updates);
  for (const once::AgedEvidence& crash : message.crashes) {
    this->fleet.crashes.Add(crash.evidence, crash.age, now);
  }
  if (message.revision > this->fleet.config.Revision()) {
    const std::lock_guard lock(this->mutex);
    this->peer_ahead = message.host;
  }
}

}  // namespace kingcupstair::control
