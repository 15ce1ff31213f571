#ifndef APPS_CALLER_LOAD_PLAN_H_
#define APPS_CALLER_LOAD_PLAN_H_

#include <string>
#include <vector>

#include "components/base/endpoint.h"
#include "components/base/time.h"

namespace kingcupstair {

/// Requests that a load run sends, and where to.
struct LoadPlan {
  std::vector<Endpoint> hosts;
  std::string method = "GET";
  std::string target = "/";
  /// API key of the organisation; may be empty.
  std::string key;
  /// Requests a second. Each is sent when it is due, whether or not earlier
  /// ones have ended.
  int rate = 10;
  Duration length{std::chrono::seconds(1)};
  Duration timeout{std::chrono::seconds(10)};
  /// Prefix of the X-Order header that identifies each request.
  std::string order_prefix = "order";
  /// Opens a new connection for each request.
  bool fresh_connections = false;
  /// File with a line for each request: wall-clock milliseconds at its start,
  /// order, status, outcome. Not written if empty.
  std::string outcomes_file;
};

}  // namespace kingcupstair

#endif  // APPS_CALLER_LOAD_PLAN_H_
