#ifndef COMPONENTS_MEMBERSHIP_DIRECTORY_H_
#define COMPONENTS_MEMBERSHIP_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "components/base/time.h"
#include "components/limits/shard.h"
#include "components/membership/host_record.h"

namespace kingcupstair::membership {

/// Where a host's record stands.
struct RecordVersion {
  uint64_t incarnation = 0;
  uint64_t version = 0;
  Liveness liveness = Liveness::kAlive;

  auto operator<=>(const RecordVersion&) const = default;
};

/// A version in the short form in which probes tell of recent changes.
struct RecentVersion {
  /// Hash of the host's name.
  uint64_t host_hash = 0;
  RecordVersion at;

  bool operator==(const RecentVersion&) const = default;
};

/// One host's knowledge of all hosts and their upstreams. Probes carry the
/// versions of what has changed lately, and a record goes only to a peer that
/// lacks it.
class Directory {
 public:
  struct Options {
    /// How long a suspect host has to answer before it counts as dead.
    Duration suspicion_time{std::chrono::seconds(3)};
    /// How long a change is told of in probes.
    Duration recent_time{std::chrono::seconds(30)};
    /// Changes told of in one probe, at most.
    size_t max_recent = 16;
    /// How long a dead host is remembered.
    Duration dead_memory{std::chrono::hours(1)};
  };

  Directory(Options options, HostRecord own, Instant now);

  /// Replaces what this host tells of itself and raises its version; false
  /// when nothing changed.
  bool UpdateOwn(HostRecord own, Instant now);

  /// Takes in an update from a peer; true when it was news.
  bool Merge(const HostUpdate& update, Instant now);

  /// No path to `host` gave an answer.
  void Suspect(const std::string& host, Instant now);

  /// `host` has said itself that it is about to end; its own record, which says
  /// the same, is still on its way.
  void MarkLeaving(const std::string& host);

  bool IsAlive(const std::string& host) const;

  /// Lets time pass: suspects become dead, the dead are forgotten. Gives the
  /// hosts that have become dead.
  std::vector<std::string> Tick(Instant now);

  /// The versions of what has changed lately, the latest first.
  std::vector<RecentVersion> Recent(Instant now) const;

  /// Hashes of the hosts of which a peer that told `theirs` knows more.
  std::vector<uint64_t> Lacking(const std::vector<RecentVersion>& theirs) const;

  /// What has changed here lately and a peer that told `theirs` lacks, at most
  /// `count` of it.
  std::vector<HostUpdate> RecentUpdatesFor(
      const std::vector<RecentVersion>& theirs,
      size_t count,
      Instant now) const;

  /// The records of the hosts with these hashes.
  std::vector<HostUpdate> FindByHash(const std::vector<uint64_t>& hashes) const;

  /// A hash over the versions of all hosts; equal when the knowledge is.
  uint64_t Digest() const;

  /// The versions known, for a full comparison.
  std::map<std::string, RecordVersion> Versions() const;

  /// Updates that a peer with these versions lacks.
  std::vector<HostUpdate> NewerThan(
      const std::map<std::string, RecordVersion>& versions) const;

  /// Hashes of the hosts of which a peer with these versions knows more.
  std::vector<uint64_t> LackingOf(
      const std::map<std::string, RecordVersion>& versions) const;

  /// All hosts not dead, this one included.
  std::vector<HostRecord> Present() const;

  /// The hosts of `region` that are alive and not leaving, this one included.
  std::vector<limits::PoolCandidate> PoolHosts(const std::string& region) const;

  /// All hosts, with what is thought of them.
  std::vector<HostUpdate> All() const;

  const HostRecord& own() const;
  size_t size() const { return this->members.size(); }

 private:
  struct Member {
    HostUpdate update;
    uint64_t hash = 0;
    /// When what is known or thought of it last changed.
    Instant changed;
  };

  void Refute(const HostUpdate& update, Instant now);
  std::vector<const Member*> RecentMembers(Instant now) const;

  Options options;
  std::string own_host;
  std::map<std::string, Member> members;
};

}  // namespace kingcupstair::membership

#endif  // COMPONENTS_MEMBERSHIP_DIRECTORY_H_
