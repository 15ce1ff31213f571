#include "components/guard/guarded_upstream.h"

#include <algorithm>

namespace kingcupstair::guard {
namespace {

constexpr int kFirstError = 400;
constexpr int kFirstServerError = 500;
/// Weight of one response in the share of shed requests.
constexpr double kShedWeight = 0.2;

/// Returns whether the request was cancelled, before it was sent or after.
bool IsCancelled(const once::Outcome& outcome) {
  const auto* refusal = std::get_if<once::NotRun>(&outcome);
  const auto* unknown = std::get_if<once::Unknown>(&outcome);
  return (refusal != nullptr &&
          refusal->reason == once::RefusalReason::kFenced) ||
         (unknown != nullptr && unknown->cancelled);
}

}  // namespace

// The guard uses its failure detector for upstreams that report when they are
// cold, and refuses requests to an unhealthy one at once. No ingress needs to
// eject these upstreams because of failures reported some time ago, so their
// error share is that of the requests they shed.
membership::UpstreamRecord LoadReportOf(const GuardedUpstream& upstream,
                                        Instant now) {
  const auto report = upstream.gate->Report(now);
  return {.id = upstream.announcement.id,
          .service = upstream.announcement.service,
          .version = upstream.announcement.version,
          .slots = std::max(1, upstream.announcement.slots),
          .limit = report.limit,
          .latency = report.latency,
          .error_share = upstream.announcement.reports_cold_state
                             ? upstream.shed_share
                             : report.error_share,
          .finished = report.finished,
          .failure_probability =
              upstream.announcement.reports_cold_state
                  ? upstream.failure_detector.FailureProbability(now)
                  : 0,
          .named_rate = report.named_rate,
          .remaining_work = report.remaining_work};
}

bool IsShed(const once::Outcome& outcome) {
  const auto* refusal = std::get_if<once::NotRun>(&outcome);
  return refusal != nullptr && refusal->reason == once::RefusalReason::kShed;
}

// A request that is shed can be sent elsewhere whatever its kind, so it is no
// evidence that the next one will be lost. Where all upstreams of a service
// shed, each of them would look as if it failed most requests.
health::RequestResult DetectorResultOf(const once::Outcome& outcome) {
  if (IsShed(outcome) || IsCancelled(outcome)) {
    return health::RequestResult::kNoEvidence;
  }
  if (const auto* ran = std::get_if<once::Ran>(&outcome)) {
    return ran->response.status < kFirstServerError
               ? health::RequestResult::kSuccess
               : health::RequestResult::kFailure;
  }
  return health::RequestResult::kFailure;
}

admission::RunEnd RunEndOf(const once::Outcome& outcome) {
  if (const auto* ran = std::get_if<once::Ran>(&outcome)) {
    return ran->response.status < kFirstServerError
               ? admission::RunEnd::kSuccess
               : admission::RunEnd::kFailure;
  }
  if (IsCancelled(outcome)) {
    return admission::RunEnd::kCancelled;
  }
  const auto* unknown = std::get_if<once::Unknown>(&outcome);
  const bool timed_out = unknown != nullptr && !unknown->upstream_broke;
  return timed_out ? admission::RunEnd::kTimeout : admission::RunEnd::kFailure;
}

RunReply ReplyOf(const once::Outcome& outcome) {
  if (std::holds_alternative<once::NotRun>(outcome)) {
    return IsShed(outcome) ? RunReply::kAnswered : RunReply::kNotSent;
  }
  return std::holds_alternative<once::Ran>(outcome) ? RunReply::kAnswered
                                                    : RunReply::kNone;
}

void RecordShed(GuardedUpstream& upstream, const once::Outcome& outcome) {
  const bool shed = IsShed(outcome);
  if (shed || std::holds_alternative<once::Ran>(outcome)) {
    upstream.shed_share += kShedWeight * ((shed ? 1 : 0) - upstream.shed_share);
  }
}

bool ProvesHarmless(const once::Outcome& outcome) {
  const auto* ran = std::get_if<once::Ran>(&outcome);
  return ran != nullptr && ran->response.status < kFirstError;
}

}  // namespace kingcupstair::guard
