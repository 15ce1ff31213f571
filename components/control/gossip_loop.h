#ifndef COMPONENTS_CONTROL_GOSSIP_LOOP_H_
#define COMPONENTS_CONTROL_GOSSIP_LOOP_H_

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "components/control/fleet.h"
#include "components/membership/prober.h"

namespace kingcupstair::control {

/// Probes the peers in turn. Probe and response carry the active revision,
/// crash evidence, and the versions of recently changed records. The records
/// themselves go only to the side that lacks them.
class GossipLoop {
 public:
  GossipLoop(Fleet& fleet, uint64_t seed);

  /// Probes one peer, then sleeps for the rest of the probe interval.
  void Step();

  /// Merges a probe from a peer and returns the response. Runs on the RPC
  /// thread.
  rpc::GossipMessage OnGossip(const rpc::GossipMessage& message);

  /// Probes a few peers now, so that updates spread without waiting for the
  /// next round.
  void SpreadNow();

  /// Probes `host`, and exchanges full directories with it if its record is not
  /// known here yet.
  void ContactNewHost(const std::string& host);

  /// Probes `host` and processes the response, with the crash evidence in it.
  /// Returns false if `host` did not respond.
  bool ExchangeNow(const std::string& host) { return this->Exchange(host); }

  /// Sends the record of this host to `host`. Returns true if `host` has it.
  bool SendOwnRecord(const std::string& host, Duration timeout);

  /// Returns true if `host` responds to a probe from this host.
  bool CanReach(const std::string& host);

  /// Returns and forgets the peer seen with the highest configuration revision,
  /// if that is higher than the one here. Called by the fiber that fetches
  /// configurations.
  std::optional<std::string> TakePeerWithNewerRevision();

 private:
  rpc::GossipMessage MakeMessage(const std::string& receiver);
  /// Merges the updates, the crash evidence and the revision of a peer.
  void MergeMessage(const rpc::GossipMessage& message);
  /// Probes `host` and processes the response. Returns false if `host` did not
  /// respond.
  bool Exchange(const std::string& host);
  bool ExchangeWithRetry(const std::string& host);
  /// Sends the records that `host` requested, and compares all versions with it
  /// if the directories differ persistently.
  void ReconcileWith(const std::string& host, const rpc::GossipMessage& reply);
  /// Begins to probe `host` through other hosts, unless that is in progress.
  void BeginIndirectProbe(const std::string& host);
  /// Probes `host` through other hosts, and suspects it if none of them reaches
  /// it.
  void ProbeIndirectly(const std::string& host);
  /// Sends the records of the hosts with these hashes, and requests those of
  /// the hosts in `outdated`. Does nothing if both are empty.
  void SendRecords(const std::string& host,
                   const std::vector<uint64_t>& host_hashes,
                   const std::vector<uint64_t>& outdated);
  /// Compares all versions with `host` and exchanges the differing records.
  void SyncWith(const std::string& host);
  std::vector<std::string> Targets() const;
  std::vector<std::string> OwnZoneTargets() const;
  /// Returns the peers that are neither suspect nor dead; all targets if there
  /// are none.
  std::vector<std::string> AliveTargets() const;
  std::optional<std::string> NextTarget();

  Fleet& fleet;
  std::mutex mutex;
  /// Picks targets in this host's availability zone.
  membership::Prober own_zone_prober;
  /// Picks targets among all hosts.
  membership::Prober prober;
  uint64_t rounds = 0;
  std::atomic<uint64_t> messages_made = 0;
  /// Peers seen with a higher configuration revision than the one here, by that
  /// revision.
  std::multimap<uint64_t, std::string> peers_with_newer_revision;
  /// Hosts that are being probed through other hosts.
  std::set<std::string> indirectly_probed;
  /// Consecutive probes with an unexplained difference between the directories.
  int unexplained_differences = 0;
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_GOSSIP_LOOP_H_
