#ifndef COMPONENTS_CONTROL_DEPARTURE_LOOP_H_
#define COMPONENTS_CONTROL_DEPARTURE_LOOP_H_

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "components/control/fleet.h"
#include "components/control/gossip_loop.h"

namespace kingcupstair::control {

/// Keeps the departures of this host's upstreams beyond a restart of the host.
/// Peers have them in its record, and a few of them, its witnesses, before the
/// departure is acknowledged. After its start the host asks them.
class DepartureLoop {
 public:
  /// `learn` is called with the departures that a peer returned.
  DepartureLoop(
      Fleet& fleet,
      GossipLoop& gossip,
      std::function<void(const std::vector<std::string>& departures)> learn);

  /// Asks the peers if they have not answered yet, then sleeps.
  void Step();

  /// Returns true once the witnesses have been asked, or if no peer has been
  /// found for so long that the upstreams are used without.
  bool Known() const;

  /// Sends the record of this host to its witnesses. Suspends the calling fiber
  /// until each has answered or has had the time to.
  void InformWitnesses();

 private:
  std::vector<std::string> Witnesses() const;
  /// Fetches the records that differ here from those of `host`, and learns the
  /// departures in the record of this host.
  bool AskHost(const std::string& host);
  bool AskWitnesses();

  Fleet& fleet;
  GossipLoop& gossip;
  std::function<void(const std::vector<std::string>&)> learn;
  Instant start;
  std::atomic<bool> answered{false};
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_DEPARTURE_LOOP_H_
