#ifndef COMPONENTS_RPC_NETWORK_H_
#define COMPONENTS_RPC_NETWORK_H_

#include "absl/status/statusor.h"
#include "components/base/endpoint.h"
#include "components/rpc/loop.h"

namespace kingcupstair::rpc {

/// The RPC library's form of an address; on the loop's thread only.
absl::StatusOr<kj::Own<kj::NetworkAddress>> AddressOf(Loop& loop,
                                                      const Endpoint& endpoint);

/// Listens on an address; on the loop's thread only.
absl::StatusOr<kj::Own<kj::ConnectionReceiver>> ListenOn(
    Loop& loop,
    const Endpoint& endpoint);

}  // namespace kingcupstair::rpc

#endif  // COMPONENTS_RPC_NETWORK_H_
