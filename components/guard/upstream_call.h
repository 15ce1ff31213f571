#ifndef COMPONENTS_GUARD_UPSTREAM_CALL_H_
#define COMPONENTS_GUARD_UPSTREAM_CALL_H_

#include "components/base/endpoint.h"
#include "components/base/time.h"
#include "components/once/outcome.h"
#include "components/once/run_request.h"

namespace kingcupstair::guard {

/// Sends a request to an upstream and waits for its whole answer; suspends the
/// calling fiber.
once::Outcome CallUpstream(const Endpoint& endpoint,
                           const once::RunRequest& request,
                           Instant deadline);

/// Whether anybody takes connections at `endpoint`; suspends the calling fiber.
bool Listens(const Endpoint& endpoint);

/// Whether the upstream closed the connection while it ran the request.
bool BrokeConnection(const once::Outcome& outcome);

}  // namespace kingcupstair::guard

#endif  // COMPONENTS_GUARD_UPSTREAM_CALL_H_
