#include "components/control/directory_keeper.h"

namespace kingcupstair::control {

DirectoryKeeper::DirectoryKeeper(membership::Directory::Options options,
                                 membership::HostRecord own)
    : directory(options, std::move(own), MonotonicNow()) {}

bool DirectoryKeeper::PublishOwn(const membership::HostRecord& own) {
  const std::lock_guard lock(this->mutex);
  return membership::WorthPublishing(this->directory.own(), own) &&
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

void DirectoryKeeper::Suspect(const std::string& host) {
  const std::lock_guard lock(this->mutex);
  this->directory.Suspect(host, MonotonicNow());
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

std::vector<membership::RecentVersion> DirectoryKeeper::Recent() const {
  const std::lock_guard lock(this->mutex);
  return this->directory.Recent(MonotonicNow());
}

std::vector<uint64_t> DirectoryKeeper::Lacking(
    const std::vector<membership::RecentVersion>& theirs) const {
  const std::lock_guard lock(this->mutex);
  return this->directory.Lacking(theirs);
}

std::vector<membership::HostUpdate> DirectoryKeeper::RecentUpdatesFor(
    const std::vector<membership::RecentVersion>& theirs,
    size_t count) const {
  const std::lock_guard lock(this->mutex);
  return this->directory.RecentUpdatesFor(theirs, count, MonotonicNow());
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

std::vector<membership::HostUpdate> DirectoryKeeper::NewerThan(
    const std::map<std::string, membership::RecordVersion>& versions) const {
  const std::lock_guard lock(this->mutex);
  return this->directory.NewerThan(versions);
}

std::vector<uint64_t> DirectoryKeeper::LackingOf(
    const std::map<std::string, membership::RecordVersion>& versions) const {
  const std::lock_guard lock(this->mutex);
  return this->directory.LackingOf(versions);
}

std::vector<membership::HostRecord> DirectoryKeeper::Present() const {
  const std::lock_guard lock(this->mutex);
  return this->directory.Present();
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
