#ifndef COMPONENTS_HEALTH_UPSTREAM_VIEW_H_
#define COMPONENTS_HEALTH_UPSTREAM_VIEW_H_

#include <cstdint>
#include <string>

#include "components/base/time.h"

namespace kingcupstair::health {

/// The state of one upstream as known to an ingress: input of outlier ejection
/// and of load balancing.
struct UpstreamView {
  std::string id;
  std::string host;
  std::string zone;
  /// Version of the program that the upstream runs; may be empty.
  std::string version;
  /// Requests that the upstream runs, from all ingresses.
  int in_flight = 0;
  /// Requests that wait in the queue of the upstream's gate.
  int queued = 0;
  /// Concurrency limit of the upstream's gate.
  int limit = 1;
  int slots = 1;
  Duration latency{};
  /// Expected time until a new request gets a slot; 0 if not known.
  Duration remaining_work{};
  /// Fraction of failed requests, 0 to 1.
  double error_share = 0;
  /// Requests finished since the upstream started.
  uint64_t finished = 0;
  /// Probability that the upstream is in a fault episode.
  double failure_probability = 0;
  /// The path from this ingress to the upstream's host is open.
  bool path_open = true;

  bool operator==(const UpstreamView&) const = default;
};

}  // namespace kingcupstair::health

#endif  // COMPONENTS_HEALTH_UPSTREAM_VIEW_H_
