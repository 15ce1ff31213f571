#ifndef COMPONENTS_LIMITS_PERMIT_PATIENCE_H_
#define COMPONENTS_LIMITS_PERMIT_PATIENCE_H_

#include <map>
#include <optional>
#include <string>

#include "components/base/time.h"
#include "components/limits/rate_pool.h"

namespace kingcupstair::limits {

/// Decides whether a request that got no permit waits for one. Answers the load
/// pattern of a pool that has died: for as long as its loans run no host can
/// tell who is inside the rate, while all callers go on as usual.
class PermitPatience {
 public:
  /// Where a request stands.
  struct Wait {
    Instant arrived;
    Instant deadline;
    /// Asks that were answered without a permit.
    int asks = 0;
    /// It was told to wait before, and whether for a pool that takes over.
    bool waits = false;
    bool for_pool = false;
  };

  /// How long to wait before the next ask; unset when the request is to be
  /// refused now. A request that is told to wait counts as waiting until End.
  std::optional<Duration> NextAsk(const std::string& organisation,
                                  const PermitGrant& grant,
                                  Wait& wait,
                                  Instant now);

  /// A request that was told to wait has got its permit or was refused.
  void End(const std::string& organisation);

 private:
  static std::optional<Duration> UntilRefilled(const PermitGrant& grant,
                                               const Wait& wait);
  std::optional<Duration> UntilTakenOver(const std::string& organisation,
                                         const Wait& wait,
                                         Instant now) const;

  /// Requests that wait, by organisation.
  std::map<std::string, int> waiting;
};

}  // namespace kingcupstair::limits

#endif  // COMPONENTS_LIMITS_PERMIT_PATIENCE_H_
