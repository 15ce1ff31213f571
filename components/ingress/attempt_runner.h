#ifndef COMPONENTS_INGRESS_ATTEMPT_RUNNER_H_
#define COMPONENTS_INGRESS_ATTEMPT_RUNNER_H_

#include <string>

#include "components/events/recorder.h"
#include "components/guard/guard.h"
#include "components/ingress/fleet_board.h"
#include "components/once/run_request.h"
#include "components/rpc/peer_clients.h"

namespace kingcupstair::ingress {

/// Runs single attempts at the guard of the chosen upstream and returns their
/// outcomes. Calls the guard of this process if the upstream is on this host,
/// and the guard of a peer over RPC otherwise. Reports the reachability of
/// paths and the load reports of upstreams for load balancing.
class AttemptRunner {
 public:
  struct Options {
    std::string own_host;
  };

  AttemptRunner(Options options,
                guard::Guard& guard,
                rpc::PeerClients& peers,
                UpstreamRegistry& registry,
                events::Recorder& recorder);

  /// Requests a slot from the guard of the chosen upstream. Suspends the
  /// calling fiber until the guard grants or refuses the slot.
  rpc::SlotAnswer Reserve(const ChosenUpstream& choice,
                          const once::SlotRequest& request);

  /// Cancels an attempt at its guard: its result is no longer needed.
  void Cancel(const ChosenUpstream& choice, const std::string& request_id);

  /// Runs an attempt within the remaining time of `request` and returns its
  /// outcome. Suspends the calling fiber.
  once::Outcome Run(const ChosenUpstream& choice,
                    const once::RunRequest& request);

 private:
  rpc::RunResult RunLocally(const once::RunRequest& request);
  once::Outcome RunRemotely(const std::string& host,
                            const once::RunRequest& request);
  /// Records the load report that came with a result.
  void RecordResult(const rpc::RunResult& result);
  /// Marks the path to `host` as lost and records the event.
  void RecordPathLost(const std::string& host);
  /// Queries `host` for the outcome of a request until the host returns an
  /// outcome or `deadline` has passed.
  once::Outcome ResolveOutcome(const std::string& host,
                               const once::RunRequest& request,
                               Instant deadline);

  Options options;
  guard::Guard& guard;
  rpc::PeerClients& peers;
  UpstreamRegistry& registry;
  events::Recorder& recorder;
};

}  // namespace kingcupstair::ingress

#endif  // COMPONENTS_INGRESS_ATTEMPT_RUNNER_H_
