#include "components/base/time.h"

#include <ctime>

namespace kingcupstair {

// CLOCK_BOOTTIME includes the time for which the host was suspended. Leases and
// loans at other hosts expire during that time, too.
Instant MonotonicNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

int64_t WallClockMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FractionOf(Duration whole, double fraction) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(whole.count()) * fraction));
}

int64_t ToMillisRoundedUp(Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
}

}  // namespace kingcupstair
