#ifndef COMPONENTS_RETRY_CALL_COUNTS_H_
#define COMPONENTS_RETRY_CALL_COUNTS_H_

#include <string>

namespace kingcupstair::retry {

/// Calls that upstreams of one service made to another service. Calls are
/// requests of the service called, except for those that retries make: a
/// request that runs again makes its calls again, so these count as retries.
struct CallCounts {
  /// The service whose upstreams made the calls.
  std::string caller;
  /// The service called.
  std::string service;
  /// Number of calls.
  double calls = 0;
  /// Expected number of calls made by retries: the sum of the probabilities
  /// with which each call was made by one.
  double by_retries = 0;

  bool operator==(const CallCounts&) const = default;
};

}  // namespace kingcupstair::retry

#endif  // COMPONENTS_RETRY_CALL_COUNTS_H_
