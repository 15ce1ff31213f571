#ifndef COMPONENTS_GUARD_GUARDED_UPSTREAM_H_
#define COMPONENTS_GUARD_GUARDED_UPSTREAM_H_

#include <map>
#include <memory>
#include <vector>

#include "components/admission/upstream_gate.h"
#include "components/guard/announcement.h"
#include "components/health/upstream_judge.h"
#include "components/membership/host_record.h"
#include "components/once/crash_ledger.h"
#include "components/once/outcome.h"

namespace kingcupstair::guard {

/// An upstream of this host as its guard knows it.
struct GuardedUpstream {
  Announcement announcement;
  std::unique_ptr<admission::UpstreamGate> gate;
  Instant last_seen;
  /// Its port refused a connection since its last announcement.
  bool unreachable = false;
  health::UpstreamJudge judge;
  std::map<admission::TicketId, once::Fingerprint> running;
  /// Requests whose connections broke since its last start.
  std::vector<once::Fingerprint> broken;
};

/// What this host tells its peers of the upstream.
membership::UpstreamRecord RecordOf(const GuardedUpstream& upstream,
                                    Instant now);

/// What it says about the health of the upstream.
health::Verdict VerdictOf(const once::Outcome& outcome);

/// What the outcome of a run says about the upstream that ran it.
admission::RunEnd EndOf(const once::Outcome& outcome);

}  // namespace kingcupstair::guard

#endif  // COMPONENTS_GUARD_GUARDED_UPSTREAM_H_
