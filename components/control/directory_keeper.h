#ifndef COMPONENTS_CONTROL_DIRECTORY_KEEPER_H_
#define COMPONENTS_CONTROL_DIRECTORY_KEEPER_H_

#include <mutex>
#include <string>
#include <vector>

#include "components/membership/directory.h"

namespace kingcupstair::control {

/// The directory of this process, behind a lock.
class DirectoryKeeper {
 public:
  DirectoryKeeper(membership::Directory::Options options,
                  membership::HostRecord own);

  /// Tells of this host anew if that is worth a message to everyone.
  bool PublishOwn(const membership::HostRecord& own);

  /// Takes in updates; gives how many were news.
  int Merge(const std::vector<membership::HostUpdate>& updates);

  void Suspect(const std::string& host);
  void MarkLeaving(const std::string& host);
  bool IsAlive(const std::string& host) const;
  std::vector<std::string> Tick();
  std::vector<membership::RecentVersion> Recent() const;
  std::vector<uint64_t> Lacking(
      const std::vector<membership::RecentVersion>& theirs) const;
  std::vector<membership::HostUpdate> RecentUpdatesFor(
      const std::vector<membership::RecentVersion>& theirs,
      size_t count) const;
  std::vector<membership::HostUpdate> FindByHash(
      const std::vector<uint64_t>& hashes) const;
  uint64_t Digest() const;
  std::map<std::string, membership::RecordVersion> Versions() const;
  std::vector<membership::HostUpdate> NewerThan(
      const std::map<std::string, membership::RecordVersion>& versions) const;
  std::vector<uint64_t> LackingOf(
      const std::map<std::string, membership::RecordVersion>& versions) const;
  std::vector<membership::HostRecord> Present() const;
  std::vector<limits::PoolCandidate> PoolHosts(const std::string& region) const;
  std::vector<membership::HostUpdate> All() const;
  size_t size() const;

  /// The life that this process stands for among its peers.
  uint64_t OwnIncarnation() const;

 private:
  mutable std::mutex mutex;
  membership::Directory directory;
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_DIRECTORY_KEEPER_H_
