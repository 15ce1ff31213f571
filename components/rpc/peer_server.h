#ifndef COMPONENTS_RPC_PEER_SERVER_H_
#define COMPONENTS_RPC_PEER_SERVER_H_

#include <memory>
#include <string>

#include "absl/status/status.h"
#include "components/base/endpoint.h"
#include "components/base/time.h"
#include "components/rpc/loop.h"
#include "components/rpc/peer_handlers.h"
#include "components/rpc/traffic_counters.h"

namespace kingcupstair::rpc {

/// RPC server for the other hosts of the fleet. A peer has to prove that it has
/// the fleet key before it reaches any handler.
class PeerServer {
 public:
  struct Options {
    Endpoint listen;
    std::string fleet_key;
    /// Counts the bytes of the replies; may be null.
    TrafficCounters* traffic = nullptr;
    /// A connection whose peer has not proved the fleet key for longer is
    /// closed.
    Duration max_entry_time{std::chrono::seconds(10)};
  };

  PeerServer(EventLoop& loop, Options options, PeerHandlers handlers);
  ~PeerServer();

  /// Starts to listen. Returns an error if the address can't be listened on.
  absl::Status Start();

 private:
  class AuthenticatorImpl;
  class PeerImpl;
  class TicketImpl;
  struct Connection;
  struct State;

  kj::Promise<void> AcceptAll();
  void RecordAccept(const absl::Status& status);
  kj::Promise<void> Serve(kj::Own<kj::AsyncIoStream> stream);

  EventLoop& loop;
  std::unique_ptr<State> state;
};

}  // namespace kingcupstair::rpc

#endif  // COMPONENTS_RPC_PEER_SERVER_H_
