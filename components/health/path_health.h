#ifndef COMPONENTS_HEALTH_PATH_HEALTH_H_
#define COMPONENTS_HEALTH_PATH_HEALTH_H_

#include <map>
#include <string>

#include "components/base/time.h"

namespace kingcupstair::health {

/// Judges the paths from this host to other hosts by what came of the calls
/// made over them. Says nothing about the upstreams behind.
class PathHealth {
 public:
  /// A call over the path was taken up within its time.
  void OnReached(const std::string& host);

  /// A call over the path was not taken up within its time.
  void OnLost(const std::string& host, Instant now);

  /// False while the path is rested after losses. When the rest is over, one
  /// call may try it.
  bool IsOpen(const std::string& host, Instant now) const;

 private:
  struct State {
    int losses = 0;
    Instant closed_until;
  };

  std::map<std::string, State> paths;
};

}  // namespace kingcupstair::health

#endif  // COMPONENTS_HEALTH_PATH_HEALTH_H_
