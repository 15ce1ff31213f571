#ifndef COMPONENTS_MEMBERSHIP_ISOLATION_H_
#define COMPONENTS_MEMBERSHIP_ISOLATION_H_

#include <atomic>

#include "components/base/time.h"

namespace kingcupstair::membership {

/// Detects that this host has had no contact to the store or to peers for some
/// time, and so cannot receive a newer configuration. An isolated host must
/// stop serving, because keys and zones of its configuration may have been
/// withdrawn. Safe to use from several threads.
class IsolationDetector {
 public:
  struct Options {
    /// Time without contact after which this host counts as isolated.
    Duration timeout{std::chrono::seconds(4)};
    /// Start of the process. Counts as the first contact.
    Instant start;
  };

  explicit IsolationDetector(Options options);

  /// Records a contact: a response of the store or of a peer, or a call from a
  /// peer.
  void RecordContact(Instant now);

  /// Returns true if the last contact is more than `timeout` ago. `hosts_known`
  /// counts all hosts of the fleet, this host included. The only host of a
  /// fleet has no peers, only the store, and is never isolated.
  bool IsIsolated(size_t hosts_known, Instant now) const;

 private:
  Options options;
  std::atomic<Duration::rep> last_contact;
};

}  // namespace kingcupstair::membership

#endif  // COMPONENTS_MEMBERSHIP_ISOLATION_H_
