#include "components/ingress/caller_response.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "components/base/json_text.h"

namespace kingcupstair::ingress {
namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
/// About the duration of several requests. By then a slot is free, or the load
/// is so high that an earlier retry would not help.
constexpr Duration kDefaultRetryAfter{std::chrono::milliseconds(500)};

/// Used when an upstream or a path failed: the retry goes elsewhere, and load
/// is no reason to delay it.
constexpr Duration kRetryElsewhereAfter{std::chrono::milliseconds(60)};

Duration RetryAfterFor(const once::NotRun& refusal) {
  if (refusal.retry_after > Duration{}) {
    return refusal.retry_after;
  }
  const bool busy = refusal.reason == once::RefusalReason::kQueueFull ||
                    refusal.reason == once::RefusalReason::kQueueTimeout ||
                    refusal.reason == once::RefusalReason::kUpstreamUnhealthy;
  return busy ? kDefaultRetryAfter : kRetryElsewhereAfter;
}

/// Formats a duration in seconds, with millisecond resolution.
std::string SecondsText(Duration duration) {
  return absl::StrCat(static_cast<double>(ToMillisRoundedUp(duration)) / 1000);
}

class OutcomeToResponse {
 public:
  explicit OutcomeToResponse(const RequestIdField& id_field)
      : id_field(id_field) {}

  http::Response operator()(const once::Ran& ran) const {
    http::Response response = ran.response;
    response.headers.push_back(
        {.name = "Kingcupstair-Outcome", .value = "ran"});
    if (http::FindHeader(response.headers, this->id_field.request_id_header)
            .empty()) {
      response.headers.push_back({.name = this->id_field.request_id_header,
                                  .value = this->id_field.request_id});
    }
    return response;
  }

  http::Response operator()(const once::NotRun& refusal) const {
    return MakeResponse(
        Problem{.status = kUnavailable,
                .reason = once::ToText(refusal.reason),
                .request_id = this->id_field.request_id,
                .request_id_header = this->id_field.request_id_header,
                .retry_after = RetryAfterFor(refusal)});
  }

  http::Response operator()(const once::Unknown& unknown) const {
    return MakeResponse(Problem{
        .status = unknown.upstream_broke ? kBadGateway : kGatewayTimeout,
        .outcome = "unknown",
        .reason = unknown.detail,
        .request_id = this->id_field.request_id,
        .request_id_header = this->id_field.request_id_header,
        .retry_after = kDefaultRetryAfter});
  }

 private:
  const RequestIdField& id_field;
};

}  // namespace

http::Response MakeResponse(const Problem& problem) {
  nlohmann::json body{{"outcome", problem.outcome},
                      {"reason", problem.reason},
                      {"request_id", problem.request_id}};
  if (problem.retry_after > Duration{}) {
    body["retry_after_ms"] = ToMillisRoundedUp(problem.retry_after);
  }
  http::Response response =
      http::JsonResponse(problem.status, JsonText(body) + "\n");
  response.headers.push_back(
      {.name = "Kingcupstair-Outcome", .value = problem.outcome});
  response.headers.push_back(
      {.name = problem.request_id_header, .value = problem.request_id});
  if (problem.retry_after > Duration{}) {
    response.headers.push_back(
        {.name = "Retry-After", .value = SecondsText(problem.retry_after)});
  }
  return response;
}

http::Response MakeResponse(const once::Outcome& outcome,
                            const RequestIdField& id_field) {
  return std::visit(OutcomeToResponse(id_field), outcome);
}

}  // namespace kingcupstair::ingress
