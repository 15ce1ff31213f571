#ifndef COMPONENTS_CONTROL_DIRECTORY_KEEPER_H_
#define COMPONENTS_CONTROL_DIRECTORY_KEEPER_H_

#include <mutex>
#include <string>
#include <vector>

#include "components/membership/directory.h"

namespace kingcupstair::control {

/// The membership directory of this process, guarded by a mutex. The functions
/// without a comment are those of membership::Directory at the current time.
class DirectoryKeeper {
 public:
  DirectoryKeeper(membership::Directory::Options options,
                  membership::HostRecord own);

  /// Replaces the record of this host if the change is worth a message to every
  /// host. Returns true if the record changed and its version was raised.
  bool PublishOwn(const membership::HostRecord& own);

  /// Merges updates from a peer. Returns how many of them changed the
  /// directory.
  int Merge(const std::vector<membership::HostUpdate>& updates);

  void MergeLoads(const std::vector<membership::LoadUpdate>& updates);
  std::vector<membership::LoadUpdate> RecentLoads() const;
  uint64_t AppliedLoadCount() const;
  bool IsInOwnZone(const std::string& host) const;
  void MarkSuspect(const std::string& host);
  void MarkLeaving(const std::string& host);
  bool IsAlive(const std::string& host) const;
  std::vector<std::string> Tick();
  std::vector<membership::RecentVersion> RecentVersions() const;
  std::vector<uint64_t> OutdatedAmongRecent(
      const std::vector<membership::RecentVersion>& theirs) const;
  std::vector<membership::HostUpdate> RecentUpdatesNewerThan(
      const std::vector<membership::RecentVersion>& theirs,
      size_t count) const;
  std::vector<membership::HostUpdate> FindByHash(
      const std::vector<uint64_t>& hashes) const;
  uint64_t Digest() const;
  std::map<std::string, membership::RecordVersion> Versions() const;
  std::vector<membership::HostUpdate> UpdatesNewerThan(
      const std::map<std::string, membership::RecordVersion>& versions) const;
  std::vector<uint64_t> OutdatedHosts(
      const std::map<std::string, membership::RecordVersion>& versions) const;
  std::vector<membership::HostRecord> HostsNotDead() const;
  std::vector<limits::PoolCandidate> PoolHosts(const std::string& region) const;
  std::vector<membership::HostUpdate> All() const;
  size_t size() const;

  /// Returns the incarnation in this host's own record.
  uint64_t OwnIncarnation() const;

 private:
  mutable std::mutex mutex;
  membership::Directory directory;
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_DIRECTORY_KEEPER_H_
