#ifndef COMPONENTS_INGRESS_ATTEMPT_RUNNER_H_
#define COMPONENTS_INGRESS_ATTEMPT_RUNNER_H_

#include <string>

#include "components/events/recorder.h"
#include "components/guard/guard.h"
#include "components/ingress/fleet_board.h"
#include "components/once/run_request.h"
#include "components/rpc/peer_clients.h"

namespace kingcupstair::ingress {

/// Carries one attempt to the guard of the chosen upstream and brings back
/// what became of it: through this process where the upstream is on this host,
/// over the fleet's port elsewhere.
class AttemptRunner {
 public:
  struct Options {
    std::string own_host;
  };

  AttemptRunner(Options options,
                guard::Guard& guard,
                rpc::PeerClients& peers,
                FleetBoard& board,
                events::Recorder& recorder);

  /// Asks the guard of the chosen upstream for a slot; suspends the calling
  /// fiber while it waits for one.
  rpc::SlotAnswer Reserve(const Choice& choice,
                          const once::SlotRequest& request);

  /// Tells the guard that nobody waits for an attempt any more.
  void Cancel(const Choice& choice, const std::string& request_id);

  /// Runs the attempt before its time is up; suspends the calling fiber.
  once::Outcome Run(const Choice& choice, const once::RunRequest& request);

 private:
  rpc::RunResult RunHere(const once::RunRequest& request);
  once::Outcome RunThere(const std::string& host,
                         const once::RunRequest& request);
  void NotePathLost(const std::string& host);
  once::Outcome FindOut(const std::string& host,
                        const once::RunRequest& request,
                        Instant deadline);

  Options options;
  guard::Guard& guard;
  rpc::PeerClients& peers;
  FleetBoard& board;
  events::Recorder& recorder;
};

}  // namespace kingcupstair::ingress

#endif  // COMPONENTS_INGRESS_ATTEMPT_RUNNER_H_
