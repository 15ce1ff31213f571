#include "components/base/backoff.h"

#include <algorithm>

namespace kingcupstair {

Backoff::Backoff(Options options) : options(options), next(options.first) {}

// The random part keeps the hosts of a fleet from calling at the same time when
// what they call is back.
Duration Backoff::NextDelay() {
  const Duration longest = this->next;
  this->next = std::min<Duration>(this->next * 2, this->options.longest);
  std::uniform_int_distribution<int64_t> delay(longest.count() / 2,
                                               longest.count());
  return Duration(delay(this->random));
}

}  // namespace kingcupstair
