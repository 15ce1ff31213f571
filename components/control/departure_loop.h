#ifndef COMPONENTS_CONTROL_DEPARTURE_LOOP_H_
#define COMPONENTS_CONTROL_DEPARTURE_LOOP_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "components/base/backoff.h"
#include "components/control/fleet.h"
#include "components/control/gossip_loop.h"
#include "components/store/departures.h"

namespace kingcupstair::control {

/// Keeps the departures of this host's upstreams in the store, so that the next
/// start of this host finds them whichever processes end, and reads them at the
/// start. A few peers, the witnesses, have them besides, for a host that starts
/// while it does not reach the store.
class DepartureLoop {
 public:
  struct Upstreams {
    /// Adds departures that were told to an earlier incarnation of this host.
    std::function<void(const std::vector<std::string>& departures)> learn;
    /// Returns all known departures.
    std::function<std::vector<std::string>()> known;
    /// Puts the known departures into the record of this host.
    std::function<void()> publish;
  };

  DepartureLoop(Fleet& fleet, GossipLoop& gossip, Upstreams upstreams);

  /// Asks the witnesses if they have not answered yet, then sleeps.
  void AskWitnessesStep();

  /// Reads the departures from the store, and later writes those that are not
  /// kept there, each if due, then sleeps.
  void FollowStoreStep();

  /// Returns true once this host knows what its earlier incarnations were told:
  /// from the store, or from a witness that has run for longer than this host.
  bool IsKnown() const;

  /// Returns OK once the departure is kept in the store. Suspends the calling
  /// fiber.
  absl::Status Keep(const std::string& departure);

 private:
  std::vector<std::string> Witnesses() const;
  void InformWitnesses();
  /// Fetches the records that differ here from those of `host`, and learns the
  /// departures in the record of this host.
  bool AskHost(const std::string& host);
  bool AskWitnesses();
  /// Returns true if `host` may remember an earlier incarnation of this host.
  bool RemembersEarlierStart(const std::string& host) const;

  bool IsKept(const std::string& departure) const;
  bool IsAnyNotKept() const;
  absl::Status Read();
  absl::Status Write();
  absl::Status WriteOnce(bool& conflict);
  void LearnFromStore(const store::StoredDepartures& stored);
  /// What was written to the store may be gone after a restore.
  void NoticeEra();
  void SetKept(const std::vector<std::string>& departures, uint64_t era);

  Fleet& fleet;
  GossipLoop& gossip;
  Upstreams upstreams;
  std::atomic<bool> was_read{false};
  std::atomic<bool> has_answer{false};
  std::atomic<bool> has_memory{false};
  std::atomic<int> calls_to_keep{0};
  Backoff backoff;
  mutable std::mutex mutex;
  /// The departures that the store has.
  std::set<std::string> kept;
  /// The era of the store in which they were written.
  uint64_t era = 0;
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_DEPARTURE_LOOP_H_
