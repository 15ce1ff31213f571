#ifndef COMPONENTS_RETRY_HEDGE_TIME_H_
#define COMPONENTS_RETRY_HEDGE_TIME_H_

#include "components/base/time.h"

namespace kingcupstair::retry {

/// Returns when a request that waits for an attempt begun at `started` may have
/// a second one. `objective` is its latency objective; `respond_by` is when
/// this host responds to all its requests because it stops, or Instant::max().
Instant HedgeTime(Instant started, Duration objective, Instant respond_by);

}  // namespace kingcupstair::retry

#endif  // COMPONENTS_RETRY_HEDGE_TIME_H_
