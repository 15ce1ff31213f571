#include "components/base/time.h"

namespace kingcupstair {

Instant MonotonicNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

int64_t WallClockMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

int64_t ToMillisRoundedUp(Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
}

}  // namespace kingcupstair
