#ifndef COMPONENTS_LIMITS_LOAN_BLOCK_H_
#define COMPONENTS_LIMITS_LOAN_BLOCK_H_

#include <cstdint>
#include <set>
#include <string>

#include "components/base/hash.h"

namespace kingcupstair::limits {

/// State of a lender that has restarted and lends nothing, because its former
/// process may have lent its share. The block ends early once every host that
/// could hold such a loan has dropped it.
struct LoanBlock {
  /// Identifies the process that is blocked; 0 if it is not blocked, or the
  /// block can't end early.
  uint64_t token = 0;
  /// Digest of the hosts that could hold a loan of the former process.
  uint64_t hosts = 0;

  bool operator==(const LoanBlock&) const = default;
};

/// Returns a digest of a set of host names that is the same on all hosts.
inline uint64_t DigestOfHosts(const std::set<std::string>& hosts) {
  uint64_t digest = hosts.size();
  for (const std::string& host : hosts) {
    digest = StableHash(host, digest);
  }
  return digest;
}

}  // namespace kingcupstair::limits

#endif  // COMPONENTS_LIMITS_LOAN_BLOCK_H_
