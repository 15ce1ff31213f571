#include "components/control/directory_keeper.h"

namespace kingcupstair::control {

DirectoryKeeper::DirectoryKeeper(membership::Directory::Options options,
                                 membership::HostRecord own)
    : directory(options, std::move(own), MonotonicNow()) {}

bool DirectoryKeeper::PublishOwn(const membership::HostRecord& own) {
  const std::lock_guard lock(this->mutex);
  return membership::HasSignificantChange(this->directory.own(), own) &&
         this->directory.UpdateOwn(own, MonotonicNow());
}

int DirectoryKeeper::Merge(const std::vector<membership::HostUpdate>& updates) {
  const std::lock_guard lock(this->mutex);
  const Instant now = MonotonicNow();
  int changed = 0;
  for (const membership::HostUpdate& update : updates) {
    changed += this->directory.Merge(update, now) ? 1 : 0;
  }
  return changed;
}

void DirectoryKeeper::MergeLoads(
    const std::vector<membership::LoadUpdate>& updates) {
  const std::lock_guard lock(this->mutex);
  this->directory.MergeLoads(updates, MonotonicNow());
}

std::vector<membership::LoadUpdate> DirectoryKeeper::RecentLoads() const {
  const std::lock_guard lock(this->mutex);
  return this->directory.RecentLoads(MonotonicNow());
}

uint64_t DirectoryKeeper::AppliedLoadCount() const {
  const std::lock_guard lock(this->mutex);
  return this->directory.applied_load_count();
}

bool DirectoryKeeper::IsInOwnZone(const std::string& host) const {
  const std::lock_guard lock(this->mutex);
  return this->directory.IsInOwnZone(host);
}

void DirectoryKeeper::MarkSuspect(const std::string& host) {
  const std::lock_guard lock(this->mutex);
  this->directory.MarkSuspect(host, MonotonicNow());
}

void DirectoryKeeper::MarkLeaving(const std::string& host) {
  const std::lock_guard lock(this->mutex);
  this->directory.MarkLeaving(host);
}

bool DirectoryKeeper::IsAlive(const std::string& host) const {
  const std::lock_guard lock(this->mutex);
  return this->directory.IsAlive(host);
}

std::vector<std::string> DirectoryKeeper::Tick() {
  const std::lock_guard lock(this->mutex);
  return this->directory.Tick(MonotonicNow());
}

std::vector<membership::RecentVersion> DirectoryKeeper::RecentVersions() const {
  const std::lock_guard lock(this->mutex);
  return this->directory.RecentVersions(MonotonicNow());
}

std::vector<uint64_t> DirectoryKeeper::OutdatedAmongRecent(
    const std::vector<membership::RecentVersion>& theirs) const {
  const std::lock_guard lock(this->mutex);
  return this->directory.OutdatedAmongRecent(theirs);
}

std::vector<membership::HostUpdate> DirectoryKeeper::RecentUpdatesNewerThan(
    const std::vector<membership::RecentVersion>& theirs,
    size_t count) const {
  const std::lock_guard lock(this->mutex);
  return this->directory.RecentUpdatesNewerThan(theirs, count, MonotonicNow());
}

std::vector<membership::HostUpdate> DirectoryKeeper::FindByHash(
    const std::vector<uint64_t>& hashes) const {
  const std::lock_guard lock(this->mutex);
  return this->directory.FindByHash(hashes);
}

uint64_t DirectoryKeeper::Digest() const {
  const std::lock_guard lock(this->mutex);
  return this->directory.Digest();
}

std::map<std::string, membership::RecordVersion> DirectoryKeeper::Versions()
    const {
  const std::lock_guard lock(this->mutex);
  return this->directory.Versions();
}

std::vector<membership::HostUpdate> DirectoryKeeper::UpdatesNewerThan(
    const std::map<std::string, membership::RecordVersion>& versions) const {
  const std::lock_guard lock(this->mutex);
  return this->directory.UpdatesNewerThan(versions);
}

std::vector<uint64_t> DirectoryKeeper::OutdatedHosts(
    const std::map<std::string, membership::RecordVersion>& versions) const {
  const std::lock_guard lock(this->mutex);
  return this->directory.OutdatedHosts(versions);
}

std::vector<membership::HostRecord> DirectoryKeeper::HostsNotDead() const {
  const std::lock_guard lock(this->mutex);
  return this->directory.HostsNotDead();
}

std::vector<limits::PoolCandidate> DirectoryKeeper::PoolHosts(
    const std::string& region) const {
  const std::lock_guard lock(this->mutex);
  return this->directory.PoolHosts(region);
}

std::vector<membership::HostUpdate> DirectoryKeeper::All() const {
  const std::lock_guard lock(this->mutex);
  return this->directory.All();
}

size_t DirectoryKeeper::size() const {
  const std::lock_guard lock(this->mutex);
  return this->directory.size();
}

uint64_t DirectoryKeeper::OwnIncarnation() const {
  const std::lock_guard lock(this->mutex);
  return this->directory.own().incarnation;
}

}  // namespace kingcupstair::control
