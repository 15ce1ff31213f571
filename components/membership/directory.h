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

/// Position of a host's record in the order of its updates. The greater version
/// replaces the smaller: incarnation counts first, then version, then liveness.
struct RecordVersion {
  uint64_t incarnation = 0;
  uint64_t version = 0;
  Liveness liveness = Liveness::kAlive;

  auto operator<=>(const RecordVersion&) const = default;
};

/// A record version in the short form that probes carry for recent changes.
struct RecentVersion {
  /// Hash of the host's name.
  uint64_t host_hash = 0;
  RecordVersion version;

  bool operator==(const RecentVersion&) const = default;
};

/// Membership table of one host: the records and liveness of all hosts and
/// their upstreams. Probes carry only the versions of records that changed
/// recently. A record is sent only to a peer whose version is older or missing.
class Directory {
 public:
  struct Options {
    /// Time within which a suspect host has to refute before it counts as dead.
    Duration suspicion_timeout{std::chrono::seconds(3)};
    /// Time for which probes carry the version of a changed record.
    Duration gossip_duration{std::chrono::seconds(30)};
    /// Maximum number of record versions in one probe.
    size_t max_recent_versions = 16;
    /// Time for which the record of a dead host is kept.
    Duration dead_retention{std::chrono::hours(1)};
    /// Time for which departures of a host's earlier incarnation are kept after
    /// a record of its next incarnation has arrived.
    Duration departure_retention{std::chrono::seconds(60)};
  };

  Directory(Options options, HostRecord own, Instant now);

  /// Replaces the record of this host and raises its version. The incarnation
  /// and version in `own` are ignored. Returns false if nothing else changed,
  /// or only the remaining work of upstreams.
  bool UpdateOwn(HostRecord own, Instant now);

  /// Applies an update from a peer. Returns true if the update is about another
  /// host and that host is missing here or has an older record. A newer update
  /// about this host itself raises the version of this host's record above it,
  /// and the function returns false.
  bool Merge(const HostUpdate& update, Instant now);

  /// Marks `host` as suspect if it is alive. To be called when `host` did not
  /// respond over any path. Has no effect on this host itself.
  void MarkSuspect(const std::string& host, Instant now);

  /// Marks `host` as leaving after a message from `host` that announces its
  /// shutdown. The record of `host` that says the same arrives later by gossip.
  void MarkLeaving(const std::string& host);

  /// Returns true if `host` is in the directory and neither suspect nor dead.
  bool IsAlive(const std::string& host) const;

  /// Marks suspects as dead after `suspicion_timeout` and removes dead hosts
  /// after `dead_retention`. Returns the hosts that became dead in this call.
  std::vector<std::string> Tick(Instant now);

  /// Returns the versions of the records that changed within `gossip_duration`,
  /// the latest change first, at most `max_recent_versions` of them.
  std::vector<RecentVersion> RecentVersions(Instant now) const;

  /// Returns the hashes of the hosts whose record here is missing or older than
  /// in `peer_recent`, the recent versions that a peer sent.
  std::vector<uint64_t> OutdatedAmongRecent(
      const std::vector<RecentVersion>& peer_recent) const;

  /// Returns the records that changed here recently and are missing or older in
  /// `peer_recent`, the recent versions that a peer sent. At most `count`.
  std::vector<HostUpdate> RecentUpdatesNewerThan(
      const std::vector<RecentVersion>& peer_recent,
      size_t count,
      Instant now) const;

  /// Returns the updates of the hosts whose names have one of these hashes.
  std::vector<HostUpdate> FindByHash(const std::vector<uint64_t>& hashes) const;

  /// Returns a hash over the versions of all hosts. Two directories with the
  /// same versions have the same digest.
  uint64_t Digest() const;

  /// Returns the versions of all hosts by name, for a full comparison.
  std::map<std::string, RecordVersion> Versions() const;

  /// Returns the updates that are missing or older in `versions`, the versions
  /// of all records of a peer. A record that is missing there comes with the
  /// departures of the host's earlier incarnations: the peer may be that host,
  /// which has restarted.
  std::vector<HostUpdate> UpdatesNewerThan(
      const std::map<std::string, RecordVersion>& versions) const;

  /// Returns the hashes of the hosts whose record here is missing or older than
  /// in `versions`, the versions of all records of a peer.
  std::vector<uint64_t> OutdatedHosts(
      const std::map<std::string, RecordVersion>& versions) const;

  /// Returns the records of all hosts that are not dead, this host included.
  /// Suspect hosts are among them.
  std::vector<HostRecord> HostsNotDead() const;

  /// Returns the hosts of `region` that may become pool hosts: those alive and
  /// not leaving, this host included.
  std::vector<limits::PoolCandidate> PoolHosts(const std::string& region) const;

  /// Returns the records of all hosts with their liveness, dead hosts included.
  std::vector<HostUpdate> All() const;

  const HostRecord& own() const;
  size_t size() const { return this->members.size(); }

 private:
  struct Member {
    HostUpdate update;
    uint64_t hash = 0;
    /// Time at which the record or the liveness last changed here.
    Instant changed_at;
    /// Departures in records of earlier incarnations, in order.
    std::vector<std::string> former_departures;
    /// Time at which the first record of the present incarnation arrived.
    Instant restarted_at;
  };

  /// Raises the version of this host's record above that of `update`, if the
  /// latter is greater.
  void Refute(const HostUpdate& update, Instant now);
  /// Returns the members that changed within `gossip_duration`, the latest
  /// change first, at most `max_recent_versions` of them.
  std::vector<const Member*> RecentMembers(Instant now) const;

  Options options;
  std::string own_host;
  std::map<std::string, Member> members;
};

}  // namespace kingcupstair::membership

#endif  // COMPONENTS_MEMBERSHIP_DIRECTORY_H_
