#ifndef COMPONENTS_RPC_TICKET_H_
#define COMPONENTS_RPC_TICKET_H_

#include <kj/async.h>

#include <cstddef>
#include <memory>

#include "components/base/time.h"
#include "components/rpc/loop.h"
#include "components/rpc/messages.h"
#include "components/rpc/peer.capnp.h"
#include "components/rpc/traffic_counters.h"

namespace kingcupstair::rpc {

/// Implements wire::Ticket for one run. Every call of `outcome` returns the
/// same result. Only for the loop's thread.
class Ticket final : public wire::Ticket::Server {
 public:
  struct Options {
    /// A longer response body is left out of the outcome.
    size_t max_inline_bytes = 0;
    /// The result is given up after this time, since a peer that does not
    /// respond may never release its ticket.
    Duration lifetime{};
    std::shared_ptr<HostTraffic> traffic;
  };

  Ticket(EventLoop& loop, kj::Promise<RunResult> result, Options options);

  kj::Promise<void> outcome(OutcomeContext context) override;
  kj::Promise<void> bodyPart(BodyPartContext context) override;

 private:
  /// Returns the result, or an exception after the lifetime.
  kj::Promise<RunResult> Result();

  Options options;
  kj::Maybe<kj::ForkedPromise<RunResult>> result;
  kj::Promise<void> expiry;
};

}  // namespace kingcupstair::rpc

#endif  // COMPONENTS_RPC_TICKET_H_
