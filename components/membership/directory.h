#ifndef COMPONENTS_MEMBERSHIP_DIRECTORY_H_
#define COMPONENTS_MEMBERSHIP_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "components/base/time.h"
#include "components/membership/host_record.h"

namespace kingcupstair::membership {

/// Where a host's record stands.
struct RecordVersion {
  uint64_t incarnation = 0;
  uint64_t version = 0;
  Liveness liveness = Liveness::kAlive;

  auto operator<=>(const RecordVersion&) const = default;
};

/// One host's knowledge of all hosts and their upstreams, spread by gossip of
/// whole host records.
class Directory {
 public:
  struct Options {
    /// How long a suspect host has to answer before it counts as dead.
    Duration suspicion_time{std::chrono::seconds(3)};
    /// How long a dead host is remembered.
    Duration dead_memory{std::chrono::hours(1)};
  };

  Directory(Options options, HostRecord own);

  /// Replaces what this host tells of itself and raises its version; false
  /// when nothing changed.
  bool UpdateOwn(HostRecord own);

  /// Takes in an update from a peer; true when it was news.
  bool Merge(const HostUpdate& update, Instant now);

  /// No path to `host` gave an answer.
  void Suspect(const std::string& host, Instant now);

  /// Lets time pass: suspects become dead, the dead are forgotten. Gives the
  /// hosts that have become dead.
  std::vector<std::string> Tick(Instant now);

  /// Up to `count` updates that have been passed on least often.
  std::vector<HostUpdate> PickGossip(size_t count);

  /// A hash over the versions of all hosts; equal when the knowledge is.
  uint64_t Digest() const;

  /// The versions known, for a full comparison.
  std::map<std::string, RecordVersion> Versions() const;

  /// Updates that a peer with these versions lacks.
  std::vector<HostUpdate> NewerThan(
      const std::map<std::string, RecordVersion>& versions) const;

  /// All hosts not dead, this one included.
  std::vector<HostRecord> Present() const;

  /// Names of hosts of `region` that are alive and not leaving, this one
  /// included.
  std::vector<std::string> PoolHosts(const std::string& region) const;

  /// All hosts, with what is thought of them.
  std::vector<HostUpdate> All() const;

  const HostRecord& own() const;
  size_t size() const { return this->members.size(); }

 private:
  struct Member {
    HostUpdate update;
    /// Since when it has been suspect or dead.
    Instant since;
    int times_sent = 0;
  };

  void Refute(const HostUpdate& update);
  int SendLimit() const;

  Options options;
  std::string own_host;
  std::map<std::string, Member> members;
};

}  // namespace kingcupstair::membership

#endif  // COMPONENTS_MEMBERSHIP_DIRECTORY_H_
