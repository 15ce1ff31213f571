#ifndef COMPONENTS_CONTROL_GOSSIP_LOOP_H_
#define COMPONENTS_CONTROL_GOSSIP_LOOP_H_

#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "components/control/fleet.h"
#include "components/membership/prober.h"

namespace kingcupstair::control {

/// Probes one peer after the other. Probe and answer tell the revision in
/// force, crash evidence, and which hosts have changed lately; records follow
/// only to the side that lacks them.
class GossipLoop {
 public:
  GossipLoop(Fleet& fleet, uint64_t seed);

  /// Probes one peer and sleeps out the period.
  void Step();

  /// Answers a probe. On the RPC thread.
  rpc::GossipMessage OnGossip(const rpc::GossipMessage& message);

  /// Sends news to a few peers now, without waiting for the next period.
  void SpreadNow();

  /// Exchanges all that is known with a host that is new here.
  void Meet(const std::string& host);

  /// True when `host` answers a probe from here.
  bool Reaches(const std::string& host);

  /// A peer was seen with a higher revision; taken by the configuration fiber.
  std::string TakePeerAhead();

 private:
  rpc::GossipMessage MakeMessage() const;
  void TakeIn(const rpc::GossipMessage& message);
  bool Exchange(const std::string& host);
  bool ExchangeTwice(const std::string& host);
  void CompareWith(const std::string& host, const rpc::GossipMessage& reply);
  void AskHelpers(const std::string& host);
  void Tell(const std::string& host, const std::vector<uint64_t>& wanted);
  void SyncWith(const std::string& host);
  std::vector<std::string> Targets() const;
  std::vector<std::string> TargetsOfOwnZone() const;
  std::optional<std::string> NextTarget();

  Fleet& fleet;
  std::mutex mutex;
  /// Of the own availability zone, and of all.
  membership::Prober near_prober;
  membership::Prober prober;
  uint64_t rounds = 0;
  std::string peer_ahead;
  int rounds_unexplained = 0;
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_GOSSIP_LOOP_H_
