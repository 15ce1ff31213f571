#ifndef COMPONENTS_CONTROL_CONFIG_LOOP_H_
#define COMPONENTS_CONTROL_CONFIG_LOOP_H_

#include <string>

#include "components/control/fleet.h"
#include "components/store/records_view.h"

namespace kingcupstair::control {

/// Brings new configurations in: from the store on the few hosts that watch
/// it, from peers on all others.
class ConfigLoop {
 public:
  explicit ConfigLoop(Fleet& fleet);

  /// One round: watches the store if it is this host's turn, for at most a
  /// second, and otherwise sleeps.
  void Step();

  /// Fetches what `peer` has in force if that is higher; true when it was put
  /// in force here.
  bool FetchFromPeer(const std::string& peer);

  /// Whether this host is one of those in its zone that watch the store.
  bool IsWatcher() const;

 private:
  void Follow(const site::PublishedConfiguration& source);
  void Follow(const site::OperatorRecords& source);
  bool NoteStoreAnswer(const absl::Status& status);
  void ReadRecords(const site::OperatorRecords& source);
  void WatchRecords(const site::OperatorRecords& source, uint64_t revision);
  void AdoptRecords(const site::OperatorRecords& source);
  void FetchFromStore(const std::string& head_text);
  bool Adopt(const std::string& source);
  void RecordOuts(const config::Configuration& before,
                  const config::Configuration& after);

  Fleet& fleet;
  uint64_t head_version = 0;
  /// The operators' records.
  store::RecordsView records;
  bool store_answered = true;
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_CONFIG_LOOP_H_
