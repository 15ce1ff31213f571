#include "components/membership/isolation.h"

namespace kingcupstair::membership {

IsolationDetector::IsolationDetector(Options options)
    : options(options),
      last_contact(options.start.time_since_epoch().count()) {}

void IsolationDetector::RecordContact(Instant now) {
  this->last_contact.store(now.time_since_epoch().count(),
                           std::memory_order_relaxed);
}

bool IsolationDetector::IsIsolated(size_t hosts_known, Instant now) const {
  const Instant last{
      Duration(this->last_contact.load(std::memory_order_relaxed))};
  return hosts_known > 1 && now - last > this->options.timeout;
}

}  // namespace kingcupstair::membership
