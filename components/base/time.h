#ifndef COMPONENTS_BASE_TIME_H_
#define COMPONENTS_BASE_TIME_H_

#include <chrono>

namespace kingcupstair {

/// A span of time in microseconds.
using Duration = std::chrono::microseconds;

/// A point on a monotonic time scale. Decision modules take it as an argument
/// and never read a clock.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// The monotonic clock of this process, in microseconds.
Instant MonotonicNow();

/// Wall-clock time in milliseconds since the Unix epoch, for logs and events.
int64_t WallClockMillis();

/// A duration as floating-point seconds.
double ToSeconds(Duration duration);

/// A fraction of a duration.
Duration PartOf(Duration whole, double part);

/// A duration in whole milliseconds, rounded up.
int64_t ToMillisRoundedUp(Duration duration);

}  // namespace kingcupstair

#endif  // COMPONENTS_BASE_TIME_H_
