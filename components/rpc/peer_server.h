#ifndef COMPONENTS_RPC_PEER_SERVER_H_
#define COMPONENTS_RPC_PEER_SERVER_H_

#include <memory>
#include <string>

#include "absl/status/status.h"
#include "components/base/endpoint.h"
#include "components/rpc/loop.h"
#include "components/rpc/peer_handlers.h"

namespace kingcupstair::rpc {

/// The port at which other hosts of the fleet reach this one. A stranger sees
/// a door that opens only to the fleet key.
class PeerServer {
 public:
  struct Options {
    Endpoint listen;
    std::string fleet_key;
  };

  PeerServer(Loop& loop, Options options, PeerHandlers handlers);
  ~PeerServer();

  absl::Status Start();

 private:
  class DoorImpl;
  class PeerImpl;
  class TicketImpl;
  struct State;

  Loop& loop;
  std::unique_ptr<State> state;
};

}  // namespace kingcupstair::rpc

#endif  // COMPONENTS_RPC_PEER_SERVER_H_
