#include "components/limits/restore_settlement.h"

namespace kingcupstair::limits {

RestoreSettlement::RestoreSettlement(Options options) : options(options) {}

void RestoreSettlement::Begin(Instant now, Duration loan_lifetime) {
  this->began_at = now;
  this->ends_at = now + this->options.spread_time + loan_lifetime;
  this->read = false;
}

// A host that has read the restored table knows its entry there. No later read
// that fails, such as one during which the store is restored again, changes
// that.
bool RestoreSettlement::IsReadOverdue(Instant now) const {
  return this->IsActive(now) && !this->read &&
         now - this->began_at >= this->options.read_time;
}

}  // namespace kingcupstair::limits
