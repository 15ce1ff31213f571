#ifndef COMPONENTS_HEALTH_PATH_HEALTH_H_
#define COMPONENTS_HEALTH_PATH_HEALTH_H_

#include <map>
#include <string>

#include "components/base/time.h"

namespace kingcupstair::health {

/// Reachability of the network paths from this host to other hosts, derived
/// from the results of the calls over each path. Independent of the health of
/// the upstreams on those hosts.
class PathHealth {
 public:
  /// Records that a call over the path to `host` was accepted before its
  /// timeout. The path is open again.
  void OnReached(const std::string& host);

  /// Records that a call over the path to `host` was not accepted before its
  /// timeout. The path is closed for a back-off period, which doubles up to a
  /// maximum with each consecutive loss.
  void OnUnreachable(const std::string& host, Instant now);

  /// Returns false during the back-off period after a loss. When the period is
  /// over, the path may be tried again.
  bool IsOpen(const std::string& host, Instant now) const;

 private:
  struct State {
    int consecutive_losses = 0;
    Instant closed_until;
  };

  std::map<std::string, State> paths;
};

}  // namespace kingcupstair::health

#endif  // COMPONENTS_HEALTH_PATH_HEALTH_H_
