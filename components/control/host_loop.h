#ifndef COMPONENTS_CONTROL_HOST_LOOP_H_
#define COMPONENTS_CONTROL_HOST_LOOP_H_

#include <optional>

#include "components/base/backoff.h"
#include "components/control/fleet.h"
#include "components/control/gossip_loop.h"

namespace kingcupstair::control {

/// Maintains this host's leased key in the store and contacts new hosts found
/// by their keys, for sites that give hosts no seeds. All other information
/// about hosts spreads by gossip.
class HostLoop {
 public:
  HostLoop(Fleet& fleet, GossipLoop& gossip);

  /// Renews the lease and discovers hosts, each if due, then sleeps for 100 ms.
  void Step();

 private:
  /// Registers this host anew if the store has been restored.
  void NoticeEra();
  /// Registers this host or renews its lease, if due.
  void MaintainLease(Instant now);
  /// Writes the key of this host with a new lease. Returns false on failure.
  bool Register();
  /// Lists the hosts in the store and contacts some unknown ones, if due.
  void Discover(Instant now);

  Duration DelayAfterSuccess();

  Fleet& fleet;
  GossipLoop& gossip;
  Instant start;
  std::optional<store::LeaseId> lease;
  Instant renew_at;
  /// The era of the store at the last round.
  uint64_t era = 0;
  Instant discover_at;
  Backoff backoff;
  Duration startup_interval;
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_HOST_LOOP_H_
