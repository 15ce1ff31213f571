#ifndef COMPONENTS_RPC_NETWORK_H_
#define COMPONENTS_RPC_NETWORK_H_

#include "absl/status/statusor.h"
#include "components/base/endpoint.h"
#include "components/rpc/loop.h"

namespace kingcupstair::rpc {

/// Converts `endpoint` to an address of the RPC library. Returns
/// InvalidArgument if its address is not a numeric IPv4 or IPv6 address; names
/// are not resolved. Only for the thread of `loop`.
absl::StatusOr<kj::Own<kj::NetworkAddress>> ToNetworkAddress(
    EventLoop& loop,
    const Endpoint& endpoint);

/// Listens on `endpoint`. Returns Unavailable if the system refuses. Only for
/// the thread of `loop`.
absl::StatusOr<kj::Own<kj::ConnectionReceiver>> ListenOn(
    EventLoop& loop,
    const Endpoint& endpoint);

}  // namespace kingcupstair::rpc

#endif  // COMPONENTS_RPC_NETWORK_H_
