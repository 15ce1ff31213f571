#ifndef COMPONENTS_BASE_TIME_H_
#define COMPONENTS_BASE_TIME_H_

#include <chrono>

namespace kingcupstair {

/// A span of time in microseconds.
using Duration = std::chrono::microseconds;

/// A point in monotonic time. Decision modules take the current time as an
/// argument and never read a clock.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Returns the monotonic time in microseconds, suspended time included.
Instant MonotonicNow();

/// Returns wall-clock milliseconds since the Unix epoch, for logs and events.
int64_t WallClockMillis();

/// Returns a duration in seconds.
double ToSeconds(Duration duration);

/// Returns `whole` times `fraction`, rounded towards zero.
Duration FractionOf(Duration whole, double fraction);

/// Returns a duration in whole milliseconds, rounded up.
int64_t ToMillisRoundedUp(Duration duration);

}  // namespace kingcupstair

#endif  // COMPONENTS_BASE_TIME_H_
