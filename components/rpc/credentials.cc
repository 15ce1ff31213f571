#include "components/rpc/credentials.h"

#include "absl/strings/str_cat.h"
#include "components/base/hash.h"

namespace kingcupstair::rpc {

std::string ProofOf(const std::string& fleet_key,
                    const std::string& nonce,
                    const CallerId& caller) {
  return HmacSha256(
      fleet_key, absl::StrCat(nonce, "|", caller.host, "|", caller.incarnation,
                              "|", caller.link));
}

}  // namespace kingcupstair::rpc
