#include "components/rpc/credentials.h"

#include "absl/strings/str_cat.h"
#include "components/base/hash.h"

namespace kingcupstair::rpc {

std::string ComputeProof(const std::string& fleet_key,
                         const std::string& nonce,
                         const ConnectionId& connection) {
  return HmacSha256(fleet_key,
                    absl::StrCat(nonce, "|", connection.host, "|",
                                 connection.incarnation, "|", connection.link));
}

}  // namespace kingcupstair::rpc
