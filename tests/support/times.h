#ifndef TESTS_SUPPORT_TIMES_H_
#define TESTS_SUPPORT_TIMES_H_

#include "components/base/time.h"

namespace kingcupstair {

/// A point `millis` milliseconds after an arbitrary start.
inline Instant At(int64_t millis) {
  return Instant(std::chrono::hours(1) + std::chrono::milliseconds(millis));
}

inline Duration Millis(int64_t millis) {
  return std::chrono::milliseconds(millis);
}

}  // namespace kingcupstair

#endif  // TESTS_SUPPORT_TIMES_H_
