#ifndef COMPONENTS_CONTROL_HOST_LOOP_H_
#define COMPONENTS_CONTROL_HOST_LOOP_H_

#include <optional>

#include "components/control/fleet.h"
#include "components/control/gossip_loop.h"

namespace kingcupstair::control {

/// Keeps this host's leased key in the store and meets the hosts whose keys
/// stand there, for sites that give hosts no seeds. Everything else that hosts
/// know of each other comes by gossip.
class HostLoop {
 public:
  HostLoop(Fleet& fleet, GossipLoop& gossip);

  /// One round of what is due, then a short pause.
  void Step();

 private:
  void KeepKey(Instant now);
  bool Register();
  void Discover(Instant now);

  Fleet& fleet;
  GossipLoop& gossip;
  Instant start;
  std::optional<store::LeaseId> lease;
  Instant renew_at;
  Instant discover_at;
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_HOST_LOOP_H_
