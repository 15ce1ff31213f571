#include "components/ingress/caller_answer.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace kingcupstair::ingress {
namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr Duration kDefaultRetryAfter{std::chrono::seconds(1)};

int64_t WholeSeconds(Duration duration) {
  return std::chrono::ceil<std::chrono::seconds>(duration).count();
}

class OutcomeAnswer {
 public:
  explicit OutcomeAnswer(const std::string& request_id)
      : request_id(request_id) {}

  http::Response operator()(const once::Ran& ran) const {
    http::Response response = ran.response;
    response.headers.push_back(
        {.name = "Kingcupstair-Outcome", .value = "ran"});
    response.headers.push_back(
        {.name = "Kingcupstair-Request-Id", .value = this->request_id});
    return response;
  }

  http::Response operator()(const once::NotRun& refusal) const {
    return AnswerFor(Problem{
        .status = kUnavailable,
        .reason = once::ToText(refusal.reason),
        .request_id = this->request_id,
        .retry_after = std::max(refusal.retry_after, kDefaultRetryAfter)});
  }

  http::Response operator()(const once::Unknown& unknown) const {
    return AnswerFor(Problem{.status = kBadGateway,
                             .outcome = "unknown",
                             .reason = unknown.detail,
                             .request_id = this->request_id,
                             .retry_after = kDefaultRetryAfter});
  }

 private:
  const std::string& request_id;
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
      {.name = "Kingcupstair-Request-Id", .value = problem.request_id});
  if (problem.retry_after > Duration{}) {
    response.headers.push_back(
        {.name = "Retry-After",
         .value = absl::StrCat(WholeSeconds(problem.retry_after))});
  }
  return response;
}

http::Response AnswerFor(const once::Outcome& outcome,
                         const std::string& request_id) {
  return std::visit(OutcomeAnswer(request_id), outcome);
}

}  // namespace kingcupstair::ingress
