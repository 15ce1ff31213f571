#include "components/retry/hedge_time.h"

#include <algorithm>

namespace kingcupstair::retry {
namespace {

/// Hedging delay as a fraction of the latency objective. A second upstream can
/// still respond within the rest of the objective.
constexpr double kDelayFraction = 0.55;
/// On a host that stops. An attempt that has taken less is not yet suspect.
constexpr double kMinDelayFraction = 0.25;

}  // namespace

// On a host that stops, a second attempt begins while there is time for its
// response.
Instant HedgeTime(Instant started, Duration objective, Instant respond_by) {
  const Duration delay = FractionOf(objective, kDelayFraction);
  const Instant latest = respond_by - delay;
  const Instant earliest = started + FractionOf(objective, kMinDelayFraction);
  return std::min(started + delay, std::max(earliest, latest));
}

}  // namespace kingcupstair::retry
