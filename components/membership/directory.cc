#include "components/membership/directory.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "components/base/hash.h"

namespace kingcupstair::membership {
namespace {

/// Each update is passed on this many times the logarithm of the fleet's size.
constexpr double kSendFactor = 3;

RecordVersion VersionOf(const HostUpdate& update) {
  return {.incarnation = update.record.incarnation,
          .version = update.record.version,
          .liveness = update.liveness};
}

}  // namespace

Directory::Directory(Options options, HostRecord own)
    : options(options), own_host(own.host) {
  this->members[this->own_host] = {.update = {.record = std::move(own)}};
}

bool Directory::UpdateOwn(HostRecord changed) {
  Member& member = this->members[this->own_host];
  changed.incarnation = member.update.record.incarnation;
  changed.version = member.update.record.version;
  if (changed == member.update.record) {
    return false;
  }
  ++changed.version;
  member.update.record = std::move(changed);
  member.times_sent = 0;
  return true;
}

bool Directory::Merge(const HostUpdate& update, Instant now) {
  const std::string& host = update.record.host;
  if (host == this->own_host) {
    this->Refute(update);
    return false;
  }
  const auto found = this->members.find(host);
  if (found != this->members.end() &&
      VersionOf(update) <= VersionOf(found->second.update)) {
    return false;
  }
  this->members[host] = {.update = update, .since = now};
  return true;
}

// Others think worse of this host than it is, or, after a step of the clock,
// remember an earlier life of this address as the later one. A number above
// theirs takes over; never an equal one, since what an earlier life did must
// not be asked of this one.
void Directory::Refute(const HostUpdate& update) {
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
  this->members[this->own_host].times_sent = 0;
}

void Directory::Suspect(const std::string& host, Instant now) {
  const auto found = this->members.find(host);
  if (found == this->members.end() || host == this->own_host ||
      found->second.update.liveness != Liveness::kAlive) {
    return;
  }
  found->second.update.liveness = Liveness::kSuspect;
  found->second.since = now;
  found->second.times_sent = 0;
}

std::vector<std::string> Directory::Tick(Instant now) {
  std::vector<std::string> died;
  for (auto& [host, member] : this->members) {
    if (member.update.liveness == Liveness::kSuspect &&
        now - member.since >= this->options.suspicion_time) {
      member.update.liveness = Liveness::kDead;
      member.since = now;
      member.times_sent = 0;
      died.push_back(host);
    }
  }
  std::erase_if(this->members, [&](const auto& entry) {
    return entry.second.update.liveness == Liveness::kDead &&
           now - entry.second.since >= this->options.dead_memory;
  });
  return died;
}

std::vector<HostUpdate> Directory::PickGossip(size_t count) {
  std::vector<Member*> fresh;
  for (auto& [host, member] : this->members) {
    if (member.times_sent < this->SendLimit()) {
      fresh.push_back(&member);
    }
  }
  std::stable_sort(fresh.begin(), fresh.end(),
                   [](const Member* left, const Member* right) {
                     return left->times_sent < right->times_sent;
                   });
  fresh.resize(std::min(count, fresh.size()));
  std::vector<HostUpdate> picked;
  for (Member* member : fresh) {
    ++member->times_sent;
    picked.push_back(member->update);
  }
  return picked;
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

std::vector<HostUpdate> Directory::NewerThan(
    const std::map<std::string, RecordVersion>& versions) const {
  std::vector<HostUpdate> newer;
  for (const auto& [host, member] : this->members) {
    const auto known = versions.find(host);
    if (known == versions.end() || known->second < VersionOf(member.update)) {
      newer.push_back(member.update);
    }
  }
  return newer;
}

std::vector<HostRecord> Directory::Present() const {
  std::vector<HostRecord> present;
  for (const auto& [host, member] : this->members) {
    if (member.update.liveness != Liveness::kDead) {
      present.push_back(member.update.record);
    }
  }
  return present;
}

std::vector<std::string> Directory::PoolHosts(const std::string& region) const {
  std::vector<std::string> hosts;
  for (const auto& [host, member] : this->members) {
    const HostUpdate& update = member.update;
    if (update.liveness == Liveness::kAlive && !update.record.leaving &&
        update.record.region == region) {
      hosts.push_back(host);
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

int Directory::SendLimit() const {
  return static_cast<int>(std::ceil(
      kSendFactor * std::log2(static_cast<double>(this->members.size()) + 1)));
}

}  // namespace kingcupstair::membership
