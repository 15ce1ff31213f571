#include "components/ingress/caller_answer.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace kingcupstair::ingress {
namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
/// About the time that several requests take: a slot is free by then, or load
/// is such that coming sooner would not help.
constexpr Duration kDefaultRetryAfter{std::chrono::milliseconds(500)};

/// An upstream or a path gave way, and load is no reason to stay away.
constexpr Duration kRetryElsewhereAfter{std::chrono::milliseconds(60)};

Duration RetryAfterFor(const once::NotRun& refusal) {
  if (refusal.retry_after > Duration{}) {
    return refusal.retry_after;
  }
  const bool busy = refusal.reason == once::RefusalReason::kQueueFull ||
                    refusal.reason == once::RefusalReason::kQueueTimeout ||
                    refusal.reason == once::RefusalReason::kLooksUnwell;
  return busy ? kDefaultRetryAfter : kRetryElsewhereAfter;
}

/// Seconds with a fraction of milliseconds.
std::string SecondsText(Duration duration) {
  return absl::StrCat(static_cast<double>(ToMillisRoundedUp(duration)) / 1000);
}

class OutcomeAnswer {
 public:
  explicit OutcomeAnswer(const AnswerName& name) : name(name) {}

  http::Response operator()(const once::Ran& ran) const {
    http::Response response = ran.response;
    response.headers.push_back(
        {.name = "Kingcupstair-Outcome", .value = "ran"});
    if (http::Find(response.headers, this->name.request_id_header).empty()) {
      response.headers.push_back({.name = this->name.request_id_header,
                                  .value = this->name.request_id});
    }
    return response;
  }

  http::Response operator()(const once::NotRun& refusal) const {
    return AnswerFor(Problem{.status = kUnavailable,
                             .reason = once::ToText(refusal.reason),
                             .request_id = this->name.request_id,
                             .request_id_header = this->name.request_id_header,
                             .retry_after = RetryAfterFor(refusal)});
  }

  http::Response operator()(const once::Unknown& unknown) const {
    return AnswerFor(Problem{
        .status = unknown.upstream_broke ? kBadGateway : kGatewayTimeout,
        .outcome = "unknown",
        .reason = unknown.detail,
        .request_id = this->name.request_id,
        .request_id_header = this->name.request_id_header,
        .retry_after = kDefaultRetryAfter});
  }

 private:
  const AnswerName& name;
};

}  // namespace

http::Response AnswerFor(const Problem& problem) {
  nlohmann::json body{{"outcome", problem.outcome},
                      {"reason", problem.reason},
                      {"request_id", problem.request_id}};
  if (problem.retry_after > Duration{}) {
    body["retry_after_ms"] = ToMillisRoundedUp(problem.retry_after);
  }
  http::Response response = http::JsonResponse(
      problem.status,
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
          "\n");
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

http::Response AnswerFor(const once::Outcome& outcome, const AnswerName& name) {
  return std::visit(OutcomeAnswer(name), outcome);
}

}  // namespace kingcupstair::ingress
