#ifndef COMPONENTS_RPC_CREDENTIALS_H_
#define COMPONENTS_RPC_CREDENTIALS_H_

#include <cstdint>
#include <string>

namespace kingcupstair::rpc {

/// Identifies one connection of a host to a peer. Connections of one host are
/// ordered by the incarnation of the host, then by number.
struct ConnectionId {
  /// The host that opened the connection.
  std::string host;
  uint64_t incarnation = 0;
  /// Rises with each connection that the incarnation opens.
  uint64_t link = 0;

  auto operator<=>(const ConnectionId&) const = default;
};

/// Returns the HMAC-SHA256 of `nonce` and `connection` under the fleet key. The
/// host that opens `connection` proves with it that it has the fleet key.
std::string ComputeProof(const std::string& fleet_key,
                         const std::string& nonce,
                         const ConnectionId& connection);

}  // namespace kingcupstair::rpc

#endif  // COMPONENTS_RPC_CREDENTIALS_H_
