#ifndef COMPONENTS_MEMBERSHIP_INCARNATION_H_
#define COMPONENTS_MEMBERSHIP_INCARNATION_H_

#include <cstdint>

#include "components/base/time.h"

namespace kingcupstair::membership {

/// Returns the number of a process start: it increases with each start. The low
/// bits, from `random`, distinguish starts within the same millisecond.
uint64_t MakeIncarnation(int64_t start_millis, uint64_t random);

/// Returns how much earlier the process `former` started than `later`, by the
/// clocks of their hosts.
Duration StartedBefore(uint64_t former, uint64_t later);

}  // namespace kingcupstair::membership

#endif  // COMPONENTS_MEMBERSHIP_INCARNATION_H_
