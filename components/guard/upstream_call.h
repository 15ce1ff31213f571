#ifndef COMPONENTS_GUARD_UPSTREAM_CALL_H_
#define COMPONENTS_GUARD_UPSTREAM_CALL_H_

#include <memory>
#include <optional>

#include "components/base/cancellation.h"
#include "components/base/endpoint.h"
#include "components/base/time.h"
#include "components/dialect/dialect.h"
#include "components/guard/upstream_notice.h"
#include "components/once/outcome.h"
#include "components/once/run_request.h"

namespace kingcupstair::guard {

/// Endpoint of an upstream and the names of the header fields that it uses.
struct UpstreamTarget {
  Endpoint endpoint;
  std::shared_ptr<const HeaderNames> header_names;
};

/// A request that is running at an upstream, or about to be sent to it.
struct RunningCall {
  /// Ends the call and closes the connection.
  CancellationPtr cancellation = std::make_shared<Cancellation>();
  /// Keeps the request from being sent, and has no effect afterwards.
  CancellationPtr cancellation_before_sending =
      std::make_shared<Cancellation>();
  bool idempotent = false;
};

/// How a call to an upstream ended.
struct UpstreamReply {
  once::Outcome outcome;
  /// What the upstream says about itself, if its response tells.
  std::optional<UpstreamNotice> notice;
};

/// Sends a request to an upstream and returns the outcome once the whole
/// response has arrived, the deadline has passed or the call has failed.
/// Suspends the calling fiber.
UpstreamReply CallUpstream(const UpstreamTarget& target,
                           const once::RunRequest& request,
                           Instant deadline,
                           const RunningCall& call);

/// Returns whether a server accepts connections at `endpoint`. Suspends the
/// calling fiber.
bool AcceptsConnections(const Endpoint& endpoint);

/// Returns whether the upstream closed the connection while it ran the request.
bool BrokeConnection(const once::Outcome& outcome);

}  // namespace kingcupstair::guard

#endif  // COMPONENTS_GUARD_UPSTREAM_CALL_H_
