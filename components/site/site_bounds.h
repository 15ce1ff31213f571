#ifndef COMPONENTS_SITE_SITE_BOUNDS_H_
#define COMPONENTS_SITE_SITE_BOUNDS_H_

#include <optional>

#include "components/base/time.h"

namespace kingcupstair::site {

/// Bounds that a site sets for the fleet, where it sets them.
struct SiteBounds {
  /// Retries for each request.
  std::optional<double> retry_ratio;
  /// Retries of all hosts together in a window, on top of those for requests.
  std::optional<double> retry_slack;
  /// Time over which retries are counted.
  std::optional<Duration> retry_window;
  /// Time from the signal to stop until a host is killed.
  std::optional<Duration> stop_grace;
  /// Requests a second that a cold upstream bears, as a multiple of the rate of
  /// its warm-up and a number on top.
  std::optional<double> cold_rate_factor;
  std::optional<double> cold_rate_slack;
  /// Fraction of the requests of a service that a faulty new version may get.
  std::optional<double> expose_share;

  bool operator==(const SiteBounds&) const = default;
};

}  // namespace kingcupstair::site

#endif  // COMPONENTS_SITE_SITE_BOUNDS_H_
