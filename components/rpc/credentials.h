#ifndef COMPONENTS_RPC_CREDENTIALS_H_
#define COMPONENTS_RPC_CREDENTIALS_H_

#include <cstdint>
#include <string>

namespace kingcupstair::rpc {

/// Who enters a host's door, over which of its connections.
struct CallerId {
  std::string host;
  uint64_t incarnation = 0;
  uint64_t link = 0;

  auto operator<=>(const CallerId&) const = default;
};

/// The proof that `caller` knows the fleet key, for one nonce.
std::string ProofOf(const std::string& fleet_key,
                    const std::string& nonce,
                    const CallerId& caller);

}  // namespace kingcupstair::rpc

#endif  // COMPONENTS_RPC_CREDENTIALS_H_
