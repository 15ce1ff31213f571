#ifndef COMPONENTS_LIMITS_PERMIT_PATIENCE_H_
#define COMPONENTS_LIMITS_PERMIT_PATIENCE_H_

#include <map>
#include <optional>
#include <string>

#include "components/base/time.h"
#include "components/limits/rate_pool.h"

namespace kingcupstair::limits {

/// Policy that decides whether a request without a permit waits for one or is
/// refused. The policy bridges the failure of a pool host: until the loans to
/// the failed host expire, no host can determine which organisations are within
/// their rate limits, while callers send as before.
class PermitWaitPolicy {
 public:
  /// State of one request that needs a permit.
  struct RequestState {
    Instant arrived;
    Instant deadline;
    /// Number of permit requests that returned no permit.
    int failed_permit_requests = 0;
    /// Set once DelayBeforeNextTry has made the request wait.
    bool is_waiting = false;
    /// Set once the request waits for a new pool host to take over. A request
    /// that waits for its bucket to refill does not have this set.
    bool waits_for_takeover = false;
  };

  /// Returns the delay before the next permit request, or nothing if the
  /// request is to be refused now. `grant` is the latest response, without a
  /// permit. A request that got a delay counts as waiting until EndWait.
  std::optional<Duration> DelayBeforeNextTry(const std::string& organisation,
                                             const PermitGrant& grant,
                                             RequestState& wait,
                                             Instant now);

  /// Ends the wait of one request that got a delay from DelayBeforeNextTry,
  /// whether it has a permit now or was refused.
  void EndWait(const std::string& organisation);

 private:
  static std::optional<Duration> RefillDelay(const PermitGrant& grant,
                                             const RequestState& wait);
  std::optional<Duration> TakeoverDelay(const std::string& organisation,
                                        const RequestState& wait,
                                        Instant now) const;

  /// Number of waiting requests by organisation.
  std::map<std::string, int> waiting_requests;
};

}  // namespace kingcupstair::limits

#endif  // COMPONENTS_LIMITS_PERMIT_PATIENCE_H_
