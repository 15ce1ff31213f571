#ifndef COMPONENTS_CONTROL_CONFIG_LOOP_H_
#define COMPONENTS_CONTROL_CONFIG_LOOP_H_

#include <mutex>
#include <optional>
#include <random>
#include <string>

#include "absl/status/statusor.h"
#include "components/base/backoff.h"
#include "components/config/reception.h"
#include "components/control/fleet.h"
#include "components/store/records_view.h"

namespace kingcupstair::control {

/// Fetches new configurations from the store, and from peers that have a newer
/// one. Each host watches the store by itself, so that a host that reaches the
/// store has each change, whichever other hosts do.
class ConfigLoop {
 public:
  explicit ConfigLoop(Fleet& fleet);

  /// Runs one round: waits for one change of the store or for the end of a
  /// watch.
  void Step();

  /// Fetches the active configuration of `peer` if its revision is higher than
  /// the active one here. Returns true if that changed the rules in force.
  bool FetchFromPeer(const std::string& peer);

  /// Ends the present watch if it can't be relied on: a peer has had a change
  /// for some time that the watch has not brought, or the store has been
  /// restored since it began.
  void CheckWatch();

 private:
  void WatchSource(const site::PublishedConfiguration& source);
  void WatchSource(const site::OperatorRecords& source);
  /// Returns the time for which the next watch waits.
  Duration WatchTime();
  /// Returns the cancellation of the watch that begins now.
  CancellationPtr BeginWatch();
  /// Records an event when the store becomes unreachable or reachable again,
  /// and sleeps for a back-off period after a failed call. Returns whether the
  /// call succeeded.
  bool RecordStoreStatus(const absl::Status& status);
  /// Logs a failed try to read the configuration.
  void LogFailedRead(const std::string& source,
                     Instant start,
                     const absl::Status& status);
  void ReadRecords(const site::OperatorRecords& source);
  void WatchRecords(const site::OperatorRecords& source, uint64_t revision);
  /// Adopts the records as last read if they are newer than the rules in force.
  /// `read` tells how they were read.
  void AdoptRecords(const site::OperatorRecords& source,
                    const std::string& read);
  /// Offers a text of rules and adopts it. Returns false if it is invalid or
  /// not newer.
  bool AdoptText(config::Head head,
                 const std::string& text,
                 const std::string& read);
  void RecordAdjustments(const std::vector<std::string>& adjustments);
  /// Records an event when the store has been restored from an older copy.
  void NoticeEra();
  void FetchFromStore(const std::string& head_text);
  /// Fetches the missing chunks of a configuration. Returns the bytes read.
  absl::StatusOr<size_t> FetchChunks(const std::string& peer,
                                     config::Reception& reception);
  /// Returns true if the rules in force have changed. `read` tells how the new
  /// ones were read.
  bool Adopt(const config::Reception& received,
             const std::string& source,
             const std::string& read);
  /// Tells a few peers of the configuration once more, after a delay.
  void SpreadAgainLater();
  /// Records an event for each zone and upstream that `after` takes out of
  /// service or puts back.
  void RecordServiceChanges(const config::Configuration& before,
                            const config::Configuration& after);

  Fleet& fleet;
  Backoff backoff;
  std::mt19937_64 random{std::random_device{}()};
  /// The store's version of the head that was last fetched.
  uint64_t head_version = 0;
  /// The operator records as last read from the store.
  store::RecordsView records;
  /// False if the head must be read before the next watch.
  bool head_up_to_date = false;
  /// Guards the members of the present watch, which `CheckWatch` ends from
  /// another fiber.
  std::mutex mutex;
  /// The present or last watch; may be null.
  CancellationPtr watch;
  uint64_t watch_era = 0;
  /// Time since which a change of a peer has been in force here that the store
  /// has not brought.
  std::optional<Instant> behind_since;
  /// The era of the store at the last round.
  uint64_t era = 0;
  /// Whether the last call to the store succeeded.
  bool store_reachable = true;
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_CONFIG_LOOP_H_
