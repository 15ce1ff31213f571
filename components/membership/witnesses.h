#ifndef COMPONENTS_MEMBERSHIP_WITNESSES_H_
#define COMPONENTS_MEMBERSHIP_WITNESSES_H_

#include <string>
#include <vector>

#include "components/membership/host_record.h"

namespace kingcupstair::membership {

/// Returns the peers that keep what `host` must not forget when it restarts, at
/// most `count`. The choice depends only on the set of hosts, so that `host`
/// finds the same peers after a restart. Hosts of `zone` come first.
std::vector<std::string> WitnessesOf(const std::string& host,
                                     const std::string& zone,
                                     const std::vector<HostRecord>& hosts,
                                     size_t count);

}  // namespace kingcupstair::membership

#endif  // COMPONENTS_MEMBERSHIP_WITNESSES_H_
