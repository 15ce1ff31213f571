#ifndef COMPONENTS_HEALTH_UPSTREAM_VIEW_H_
#define COMPONENTS_HEALTH_UPSTREAM_VIEW_H_

#include <cstdint>
#include <string>

#include "components/base/time.h"

namespace kingcupstair::health {

/// What an ingress knows about one upstream when it judges and chooses.
struct UpstreamView {
  std::string id;
  std::string host;
  std::string zone;
  int in_flight = 0;
  int queued = 0;
  int limit = 1;
  int slots = 1;
  Duration latency{};
  double error_share = 0;
  uint64_t finished = 0;
  /// The path from this ingress to the upstream's host works.
  bool path_open = true;

  bool operator==(const UpstreamView&) const = default;
};

}  // namespace kingcupstair::health

#endif  // COMPONENTS_HEALTH_UPSTREAM_VIEW_H_
