#ifndef COMPONENTS_CONFIG_BOUNDS_H_
#define COMPONENTS_CONFIG_BOUNDS_H_

#include "components/base/time.h"

namespace kingcupstair::config {

/// Longest time of a request: well below the time for which a host keeps the
/// outcome of a request.
inline constexpr Duration kMaxRequestTime{std::chrono::seconds(300)};
/// Longest time that a rule states for a connection.
inline constexpr Duration kMaxConnectionTime{std::chrono::hours(24)};
/// Greatest rate of an organisation or a cold upstream, in requests a second,
/// and greatest burst.
inline constexpr double kMaxRate = 1e6;
/// Lowest priority; 0 is the highest.
inline constexpr double kMaxPriority = 100;
inline constexpr double kMaxWeight = 1e12;
inline constexpr double kMaxAttempts = 100;
/// The HTTP library counts the bytes of a head in 32 bits.
inline constexpr double kMaxHeaderBytes = 1e9;
inline constexpr double kMaxBodyBytes = 1e15;

}  // namespace kingcupstair::config

#endif  // COMPONENTS_CONFIG_BOUNDS_H_
