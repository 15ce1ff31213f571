#ifndef COMPONENTS_GUARD_UPSTREAM_CALL_H_
#define COMPONENTS_GUARD_UPSTREAM_CALL_H_

#include <memory>

#include "components/base/cancellation.h"
#include "components/base/endpoint.h"
#include "components/base/time.h"
#include "components/dialect/dialect.h"
#include "components/once/outcome.h"
#include "components/once/run_request.h"

namespace kingcupstair::guard {

/// Where an upstream is and how it is talked to.
struct UpstreamTarget {
  Endpoint endpoint;
  std::shared_ptr<const Dialect> dialect;
};

/// Sends a request to an upstream and waits for its whole answer; suspends the
/// calling fiber. A cancellation closes the connection.
once::Outcome CallUpstream(const UpstreamTarget& target,
                           const once::RunRequest& request,
                           Instant deadline,
                           const CancellationPtr& cancellation);

/// Whether anybody takes connections at `endpoint`; suspends the calling fiber.
bool Listens(const Endpoint& endpoint);

/// Whether the upstream closed the connection while it ran the request.
bool BrokeConnection(const once::Outcome& outcome);

}  // namespace kingcupstair::guard

#endif  // COMPONENTS_GUARD_UPSTREAM_CALL_H_
