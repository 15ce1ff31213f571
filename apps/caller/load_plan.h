#ifndef APPS_CALLER_LOAD_PLAN_H_
#define APPS_CALLER_LOAD_PLAN_H_

#include <string>
#include <vector>

#include "components/base/endpoint.h"
#include "components/base/time.h"

namespace kingcupstair {

/// What a load run sends.
struct LoadPlan {
  std::vector<Endpoint> hosts;
  std::string method = "GET";
  std::string target = "/";
  std::string key;
  /// Requests a second, sent on time whether or not earlier ones have ended.
  int rate = 10;
  Duration length{std::chrono::seconds(1)};
  Duration timeout{std::chrono::seconds(10)};
  /// Prefix of the X-Order that names each request.
  std::string order_prefix = "order";
  /// A new connection for each request.
  bool fresh_connections = false;
  /// A line is written for each request: wall-clock milliseconds at its start,
  /// order, status, outcome.
  std::string outcomes_file;
};

}  // namespace kingcupstair

#endif  // APPS_CALLER_LOAD_PLAN_H_
