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

/// Endpoint of an upstream and the names of the header fields that it uses.
struct UpstreamTarget {
  Endpoint endpoint;
  std::shared_ptr<const HeaderNames> header_names;
};

/// Sends a request to an upstream and returns the outcome once the whole
/// response has arrived, the deadline has passed or the call has failed.
/// Suspends the calling fiber. A cancellation closes the connection.
once::Outcome CallUpstream(const UpstreamTarget& target,
                           const once::RunRequest& request,
                           Instant deadline,
                           const CancellationPtr& cancellation);

/// Returns whether a server accepts connections at `endpoint`. Suspends the
/// calling fiber.
bool AcceptsConnections(const Endpoint& endpoint);

/// Returns whether the upstream closed the connection while it ran the request.
bool BrokeConnection(const once::Outcome& outcome);

}  // namespace kingcupstair::guard

#endif  // COMPONENTS_GUARD_UPSTREAM_CALL_H_
