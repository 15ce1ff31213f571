#ifndef COMPONENTS_GUARD_GUARDED_UPSTREAM_H_
#define COMPONENTS_GUARD_GUARDED_UPSTREAM_H_

#include <memory>

#include "components/admission/upstream_gate.h"
#include "components/guard/announcement.h"
#include "components/guard/crash_suspects.h"
#include "components/health/failure_detector.h"
#include "components/membership/host_record.h"
#include "components/once/outcome.h"

namespace kingcupstair::guard {

/// State that the guard keeps for one upstream of this host.
struct GuardedUpstream {
  Announcement announcement;
  std::unique_ptr<admission::UpstreamGate> gate;
  /// Time of the last announcement.
  Instant last_seen;
  /// Set if the upstream refused a connection since its last announcement.
  bool unreachable = false;
  health::FailureDetector failure_detector;
  /// Exponentially weighted share of requests that the upstream shed, 0 to 1.
  double shed_share = 0;
  /// Runs of the present start of the upstream that may crash it.
  CrashSuspects crash_suspects{{}};
  /// Set once this start of the upstream has sent a response.
  bool has_responded = false;
};

/// Returns the load report of the upstream for peers.
membership::UpstreamRecord LoadReportOf(const GuardedUpstream& upstream,
                                        Instant now);

/// Returns whether the upstream refused to run the request.
bool IsShed(const once::Outcome& outcome);

/// Counts the outcome of a request in the upstream's share of shed requests.
void RecordShed(GuardedUpstream& upstream, const once::Outcome& outcome);

/// Returns how the failure detector of an upstream counts the outcome of a
/// request sent to the upstream.
health::RequestResult DetectorResultOf(const once::Outcome& outcome);

/// Returns how the admission gate of an upstream counts the outcome of a
/// request sent to the upstream.
admission::RunEnd RunEndOf(const once::Outcome& outcome);

/// Returns what the outcome of a request tells about a crash of its upstream.
RunReply ReplyOf(const once::Outcome& outcome);

/// Returns whether the outcome proves that a request does not crash its
/// upstream. An error may come from an upstream, or from a proxy in front of
/// it, that did not run the request.
bool ProvesHarmless(const once::Outcome& outcome);

}  // namespace kingcupstair::guard

#endif  // COMPONENTS_GUARD_GUARDED_UPSTREAM_H_
