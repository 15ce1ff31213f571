#include "components/membership/directory.h"

#include <algorithm>
#include <iterator>

#include "absl/strings/str_cat.h"
#include "components/base/hash.h"

namespace kingcupstair::membership {
namespace {

RecordVersion VersionOf(const HostUpdate& update) {
  return {.incarnation = update.record.incarnation,
          .version = update.record.version,
          .liveness = update.liveness};
}

std::vector<std::string> Union(const std::vector<std::string>& left,
                               const std::vector<std::string>& right) {
  std::vector<std::string> both;
  std::set_union(left.begin(), left.end(), right.begin(), right.end(),
                 std::back_inserter(both));
  return both;
}

}  // namespace

Directory::Directory(Options options, HostRecord own, Instant now)
    : options(options), own_host(own.host) {
  const uint64_t hash = StableHash(own.host);
  this->members[this->own_host] = {
      .update = {.record = std::move(own)}, .hash = hash, .changed_at = now};
}

bool Directory::UpdateOwn(HostRecord changed, Instant now) {
  Member& member = this->members[this->own_host];
  changed.incarnation = member.update.record.incarnation;
  changed.version = member.update.record.version;
  HostRecord before = member.update.record;
  if (before.upstreams.size() == changed.upstreams.size()) {
    for (size_t i = 0; i < before.upstreams.size(); ++i) {
      before.upstreams[i].remaining_work = changed.upstreams[i].remaining_work;
    }
  }
  if (changed == before) {
    return false;
  }
  ++changed.version;
  member.update.record = std::move(changed);
  member.changed_at = now;
  return true;
}

bool Directory::Merge(const HostUpdate& update, Instant now) {
  const std::string& host = update.record.host;
  if (host == this->own_host) {
    this->Refute(update, now);
    return false;
  }
  const auto found = this->members.find(host);
  if (found != this->members.end() &&
      VersionOf(update) <= VersionOf(found->second.update)) {
    return false;
  }
  Member member{.update = update, .hash = StableHash(host), .changed_at = now};
  if (found != this->members.end()) {
    Member& before = found->second;
    const HostRecord& record = before.update.record;
    const bool restarted = record.incarnation < update.record.incarnation;
    member.former_departures =
        restarted ? Union(before.former_departures, record.departures)
                  : std::move(before.former_departures);
    member.restarted_at = restarted ? now : before.restarted_at;
  }
  this->members[host] = std::move(member);
  return true;
}

// A peer has a newer version of this host's record in two cases: the peer
// suspects this host or counts it as dead, or the wall clock stepped back and
// an earlier incarnation at this address had the higher number. This host then
// takes a number above the peer's. The number never equals that of an earlier
// incarnation: peers ask an incarnation for the outcomes of its requests, and
// this process has no record of what the earlier incarnation ran.
void Directory::Refute(const HostUpdate& update, Instant now) {
  HostUpdate& own_update = this->members[this->own_host].update;
  if (VersionOf(update) <= VersionOf(own_update)) {
    return;
  }
  HostRecord& record = own_update.record;
  if (update.record.incarnation > record.incarnation) {
    record.incarnation = update.record.incarnation + 1;
    record.version = 1;
  } else {
    record.version = update.record.version + 1;
  }
  this->members[this->own_host].changed_at = now;
}

void Directory::MarkSuspect(const std::string& host, Instant now) {
  const auto found = this->members.find(host);
  if (found == this->members.end() || host == this->own_host ||
      found->second.update.liveness != Liveness::kAlive) {
    return;
  }
  found->second.update.liveness = Liveness::kSuspect;
  found->second.changed_at = now;
}

void Directory::MarkLeaving(const std::string& host) {
  const auto found = this->members.find(host);
  if (found != this->members.end()) {
    found->second.update.record.leaving = true;
  }
}

bool Directory::IsAlive(const std::string& host) const {
  const auto found = this->members.find(host);
  return found != this->members.end() &&
         found->second.update.liveness == Liveness::kAlive;
}

std::vector<std::string> Directory::Tick(Instant now) {
  std::vector<std::string> newly_dead;
  for (auto& [host, member] : this->members) {
    if (now - member.restarted_at >= this->options.departure_retention) {
      member.former_departures.clear();
    }
    if (member.update.liveness == Liveness::kSuspect &&
        now - member.changed_at >= this->options.suspicion_timeout) {
      member.update.liveness = Liveness::kDead;
      member.changed_at = now;
      newly_dead.push_back(host);
    }
  }
  std::erase_if(this->members, [&](const auto& entry) {
    return entry.second.update.liveness == Liveness::kDead &&
           now - entry.second.changed_at >= this->options.dead_retention;
  });
  return newly_dead;
}

std::vector<const Directory::Member*> Directory::RecentMembers(
    Instant now) const {
  std::vector<const Member*> recent;
  for (const auto& [host, member] : this->members) {
    if (now - member.changed_at < this->options.gossip_duration) {
      recent.push_back(&member);
    }
  }
  std::stable_sort(recent.begin(), recent.end(),
                   [](const Member* left, const Member* right) {
                     return left->changed_at > right->changed_at;
                   });
  recent.resize(std::min(recent.size(), this->options.max_recent_versions));
  return recent;
}

std::vector<RecentVersion> Directory::RecentVersions(Instant now) const {
  std::vector<RecentVersion> versions;
  for (const Member* member : this->RecentMembers(now)) {
    versions.push_back(
        {.host_hash = member->hash, .version = VersionOf(member->update)});
  }
  return versions;
}

std::vector<uint64_t> Directory::OutdatedAmongRecent(
    const std::vector<RecentVersion>& peer_recent) const {
  std::map<uint64_t, RecordVersion> known;
  for (const auto& [host, member] : this->members) {
    known[member.hash] = VersionOf(member.update);
  }
  std::vector<uint64_t> outdated;
  for (const RecentVersion& recent : peer_recent) {
    const auto found = known.find(recent.host_hash);
    if (found == known.end() || found->second < recent.version) {
      outdated.push_back(recent.host_hash);
    }
  }
  return outdated;
}

std::vector<HostUpdate> Directory::RecentUpdatesNewerThan(
    const std::vector<RecentVersion>& peer_recent,
    size_t count,
    Instant now) const {
  std::map<uint64_t, RecordVersion> peer_versions;
  for (const RecentVersion& recent : peer_recent) {
    peer_versions[recent.host_hash] = recent.version;
  }
  std::vector<HostUpdate> updates;
  for (const Member* member : this->RecentMembers(now)) {
    const auto found = peer_versions.find(member->hash);
    const bool is_outdated = found == peer_versions.end() ||
                             found->second < VersionOf(member->update);
    if (is_outdated && updates.size() < count) {
      updates.push_back(member->update);
    }
  }
  return updates;
}

std::vector<HostUpdate> Directory::FindByHash(
    const std::vector<uint64_t>& hashes) const {
  std::vector<HostUpdate> found;
  for (const auto& [host, member] : this->members) {
    if (std::find(hashes.begin(), hashes.end(), member.hash) != hashes.end()) {
      found.push_back(member.update);
    }
  }
  return found;
}

uint64_t Directory::Digest() const {
  uint64_t digest = 0;
  for (const auto& [host, member] : this->members) {
    const RecordVersion at = VersionOf(member.update);
    digest ^=
        StableHash(absl::StrCat(host, "/", at.incarnation, "/", at.version, "/",
                                static_cast<int>(at.liveness)));
  }
  return digest;
}

std::map<std::string, RecordVersion> Directory::Versions() const {
  std::map<std::string, RecordVersion> versions;
  for (const auto& [host, member] : this->members) {
    versions[host] = VersionOf(member.update);
  }
  return versions;
}

std::vector<uint64_t> Directory::OutdatedHosts(
    const std::map<std::string, RecordVersion>& versions) const {
  std::vector<uint64_t> outdated;
  for (const auto& [host, version] : versions) {
    const auto found = this->members.find(host);
    if (found == this->members.end() ||
        VersionOf(found->second.update) < version) {
      outdated.push_back(StableHash(host));
    }
  }
  return outdated;
}

std::vector<HostUpdate> Directory::UpdatesNewerThan(
    const std::map<std::string, RecordVersion>& versions) const {
  std::vector<HostUpdate> newer;
  for (const auto& [host, member] : this->members) {
    const auto known = versions.find(host);
    if (known != versions.end() && known->second >= VersionOf(member.update)) {
      continue;
    }
    newer.push_back(member.update);
    if (known == versions.end()) {
      auto& departures = newer.back().record.departures;
      departures = Union(departures, member.former_departures);
    }
  }
  return newer;
}

std::vector<HostRecord> Directory::HostsNotDead() const {
  std::vector<HostRecord> present;
  for (const auto& [host, member] : this->members) {
    if (member.update.liveness != Liveness::kDead) {
      present.push_back(member.update.record);
    }
  }
  return present;
}

std::vector<limits::PoolCandidate> Directory::PoolHosts(
    const std::string& region) const {
  std::vector<limits::PoolCandidate> hosts;
  for (const auto& [host, member] : this->members) {
    const HostUpdate& update = member.update;
    if (update.liveness == Liveness::kAlive && !update.record.leaving &&
        update.record.region == region) {
      hosts.push_back(
          {.host = host, .incumbent_pool_mask = update.record.pools});
    }
  }
  return hosts;
}

std::vector<HostUpdate> Directory::All() const {
  std::vector<HostUpdate> all;
  for (const auto& [host, member] : this->members) {
    all.push_back(member.update);
  }
  return all;
}

const HostRecord& Directory::own() const {
  return this->members.at(this->own_host).update.record;
}

}  // namespace kingcupstair::membership
