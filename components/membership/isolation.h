#ifndef COMPONENTS_MEMBERSHIP_ISOLATION_H_
#define COMPONENTS_MEMBERSHIP_ISOLATION_H_

#include <atomic>

#include "components/base/time.h"

namespace kingcupstair::membership {

/// Tells whether this host hears anybody who could bring it a newer
/// configuration. One that hears nobody must not go on serving with keys and
/// zones that may have been withdrawn. Safe to use from several threads.
class Isolation {
 public:
  struct Options {
    /// Silence after which a host counts as isolated.
    Duration patience{std::chrono::seconds(4)};
    Instant start;
  };

  explicit Isolation(Options options);

  /// The store or a peer has answered, or a peer has called.
  void OnHeard(Instant now);

  /// `hosts_known` counts all hosts of the fleet, this one included; a host
  /// that is alone has nobody to hear but the store and is never isolated.
  bool IsIsolated(size_t hosts_known, Instant now) const;

 private:
  Options options;
  std::atomic<Duration::rep> last_heard;
};

}  // namespace kingcupstair::membership

#endif  // COMPONENTS_MEMBERSHIP_ISOLATION_H_
