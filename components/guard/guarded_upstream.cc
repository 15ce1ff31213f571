#include "components/guard/guarded_upstream.h"

#include <algorithm>

namespace kingcupstair::guard {
namespace {

constexpr int kFirstServerError = 500;

}  // namespace

// A guard that judges its upstream itself refuses work for it at once, so no
// ingress needs to eject it for errors that it has told of some time ago.
membership::UpstreamRecord RecordOf(const GuardedUpstream& upstream,
                                    Instant now) {
  const auto report = upstream.gate->Report(now);
  return {.id = upstream.announcement.id,
          .service = upstream.announcement.service,
          .slots = std::max(1, upstream.announcement.slots),
          .limit = report.limit,
          .latency = report.latency,
          .error_share =
              upstream.announcement.tells_warm_up ? 0 : report.error_share,
          .finished = report.finished};
}

health::Verdict VerdictOf(const once::Outcome& outcome) {
  if (const auto* ran = std::get_if<once::Ran>(&outcome)) {
    return ran->response.status < kFirstServerError ? health::Verdict::kGood
                                                    : health::Verdict::kBad;
  }
  const auto* unknown = std::get_if<once::Unknown>(&outcome);
  return unknown != nullptr && unknown->cancelled ? health::Verdict::kNone
                                                  : health::Verdict::kBad;
}

admission::RunEnd EndOf(const once::Outcome& outcome) {
  if (const auto* ran = std::get_if<once::Ran>(&outcome)) {
    return ran->response.status < kFirstServerError
               ? admission::RunEnd::kSuccess
               : admission::RunEnd::kFailure;
  }
  const auto* unknown = std::get_if<once::Unknown>(&outcome);
  if (unknown != nullptr && unknown->cancelled) {
    return admission::RunEnd::kCancelled;
  }
  const bool timed_out = unknown != nullptr && !unknown->upstream_broke;
  return timed_out ? admission::RunEnd::kTimeout : admission::RunEnd::kFailure;
}

}  // namespace kingcupstair::guard
