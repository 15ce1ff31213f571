#include "components/ingress/ingress.h"

#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "components/base/hash.h"
#include "components/logging/log.h"
#include "components/retry/retry_policy.h"

namespace kingcupstair::ingress {
namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr Duration kSoon{std::chrono::seconds(1)};
constexpr char kOpenOrganisation[] = "-";
constexpr char kBearer[] = "Bearer ";
constexpr char kDeadlineHeader[] = "Kingcupstair-Deadline-Ms";

/// What of a caller's headers no upstream gets to see: keys, and names that
/// only the fleet may use.
http::Headers HeadersForUpstream(const http::Headers& headers) {
  http::Headers kept = http::Without(
      headers, {"Authorization", "Proxy-Authorization", "X-Api-Key"});
  std::erase_if(kept, [](const http::Header& header) {
    return absl::StartsWithIgnoreCase(header.name, "Kingcupstair-");
  });
  return kept;
}

std::string KeyOf(const http::Headers& headers) {
  const std::string_view authorization = http::Find(headers, "Authorization");
  const std::string_view bearer = kBearer;
  if (authorization.substr(0, bearer.size()) == bearer) {
    return std::string(authorization.substr(bearer.size()));
  }
  return std::string(http::Find(headers, "X-Api-Key"));
}

Duration TimeFor(const config::RouteRule& route, const http::Headers& headers) {
  int64_t millis = 0;
  const std::string asked(http::Find(headers, kDeadlineHeader));
  if (absl::SimpleAtoi(asked, &millis) && millis > 0) {
    return std::min<Duration>(
        route.deadline,
        std::chrono::milliseconds(std::min<int64_t>(millis, 600'000)));
  }
  return route.deadline;
}

/// Logs an attempt that brought no answer; names and ids only, no key.
void LogAttempt(const std::string& request_id,
                const std::string& organisation,
                const std::string& host,
                const once::Outcome& outcome) {
  if (std::holds_alternative<once::Ran>(outcome)) {
    return;
  }
  const auto* refusal = std::get_if<once::NotRun>(&outcome);
  logging::Write(
      logging::Level::kWarning, "an attempt brought no answer",
      {{.name = "request_id", .value = request_id},
       {.name = "organisation", .value = organisation},
       {.name = "step", .value = "attempt"},
       {.name = "peer", .value = host},
       {.name = "outcome", .value = refusal != nullptr ? "not-run" : "unknown"},
       {.name = "reason",
        .value = refusal != nullptr
                     ? once::ToText(refusal->reason)
                     : std::get<once::Unknown>(outcome).detail}});
}

}  // namespace

/// A request on its way through the ingress.
struct Ingress::Admitted {
  std::string request_id;
  config::RouteRule route;
  std::string organisation = kOpenOrganisation;
  http::Request request;
  once::Fingerprint fingerprint = 0;
  std::string dedupe_key;
  Instant deadline;
};

Ingress::Ingress(Options options,
                 const Snapshot<config::Configuration>& configuration,
                 FleetBoard& board,
                 AttemptRunner& runner,
                 guard::CrashWatch& crashes,
                 events::Recorder& recorder)
    : options(std::move(options)),
      configuration(configuration),
      board(board),
      runner(runner),
      crashes(crashes),
      recorder(recorder) {}

http::Response Ingress::Handle(const http::Request& request) {
  Admitted admitted{.request_id = RandomId(), .request = request};
  const auto current = this->configuration.Read();
  if (auto problem = this->CheckInService(*current)) {
    return this->Refuse(admitted, *problem);
  }
  const auto* route = current->FindRoute(request.method, request.target);
  if (route == nullptr) {
    return this->Refuse(admitted,
                        {.status = kNotFound, .reason = "no_such_route"});
  }
  admitted.route = *route;
  admitted.deadline = MonotonicNow() + TimeFor(*route, request.headers);
  if (auto problem = this->Authenticate(*current, request, admitted)) {
    return this->Refuse(admitted, *problem);
  }
  admitted.request.headers = HeadersForUpstream(request.headers);
  admitted.fingerprint =
      StableHash(absl::StrCat(admitted.organisation, "\n", request.method, "\n",
                              request.target, "\n", request.body));
  if (auto problem = this->CheckCrashes(admitted)) {
    return this->Refuse(admitted, *problem);
  }
  if (auto problem = this->TakePermit(admitted)) {
    return this->Refuse(admitted, *problem);
  }
  return this->RunWithRetries(admitted);
}

std::optional<Problem> Ingress::CheckInService(
    const config::Configuration& current) {
  const auto refuse = [](const char* reason) {
    return Problem{
        .status = kUnavailable, .reason = reason, .retry_after = kSoon};
  };
  if (current.revision() == 0) {
    return refuse("no_configuration_yet");
  }
  if (this->options.isolated()) {
    return refuse("host_isolated");
  }
  return std::nullopt;
}

// The key is checked anew with each request, so a withdrawn one stops working
// on open connections too.
std::optional<Problem> Ingress::Authenticate(
    const config::Configuration& current,
    const http::Request& request,
    Admitted& admitted) const {
  if (admitted.route.access == config::Access::kOpen) {
    return std::nullopt;
  }
  const std::string key = KeyOf(request.headers);
  const auto* organisation =
      key.empty() ? nullptr : current.FindByKeyDigest(Sha256Hex(key));
  if (organisation == nullptr) {
    return Problem{.status = kUnauthorized, .reason = "key_not_valid"};
  }
  admitted.organisation = organisation->name;
  const std::string_view repeat_key =
      http::Find(request.headers, "Idempotency-Key");
  if (admitted.route.repeat == config::Repeat::kOnce && !repeat_key.empty()) {
    admitted.dedupe_key = Sha256Hex(absl::StrCat(admitted.organisation, "\n",
                                                 admitted.route.service, "\n",
                                                 std::string(repeat_key)));
  }
  return std::nullopt;
}

std::optional<Problem> Ingress::CheckCrashes(const Admitted& admitted) const {
  const Duration refused =
      this->crashes.RefusedFor(admitted.fingerprint, MonotonicNow());
  if (refused == Duration{}) {
    return std::nullopt;
  }
  return Problem{.status = kUnavailable,
                 .reason = "crashes_upstreams",
                 .retry_after = refused};
}

std::optional<Problem> Ingress::TakePermit(const Admitted& admitted) const {
  if (admitted.organisation == kOpenOrganisation) {
    return std::nullopt;
  }
  const Instant asked = MonotonicNow();
  const auto grant = this->options.acquire(admitted.organisation);
  const bool in_time = MonotonicNow() - asked < grant.life;
  if (grant.granted > 0 && in_time) {
    return std::nullopt;
  }
  return Problem{.status = kTooManyRequests,
                 .reason = "over_rate",
                 .retry_after = std::max(grant.retry_after, Duration(1000))};
}

http::Response Ingress::RunWithRetries(const Admitted& admitted) {
  {
    const std::lock_guard lock(this->budget_mutex);
    this->budget.OnFirstAttempt();
  }
  std::set<std::string> tried;
  retry::AttemptResult last{
      .outcome = once::NotRun{.reason = once::RefusalReason::kUpstreamGone},
      .repeat = admitted.route.repeat,
      .attempts = 0};
  while (true) {
    const auto choice = this->Choose(admitted, tried);
    if (!choice.has_value()) {
      break;
    }
    tried.insert(choice->upstream);
    last.outcome = this->runner.Run(*choice, this->MakeRun(admitted, *choice));
    ++last.attempts;
    LogAttempt(admitted.request_id, admitted.organisation, choice->host,
               last.outcome);
    const auto* unknown = std::get_if<once::Unknown>(&last.outcome);
    last.upstreams_broken +=
        unknown != nullptr && unknown->upstream_broke ? 1 : 0;
    last.time_left = admitted.deadline - MonotonicNow();
    const bool again =
        std::holds_alternative<retry::TryAgain>(retry::DecideNextStep(last));
    if (!again || !admitted.dedupe_key.empty() || !this->MayRetry()) {
      break;
    }
    this->Count(admitted, "retried");
  }
  this->Count(admitted, once::ResultOf(last.outcome));
  if (!std::holds_alternative<once::Ran>(last.outcome)) {
    const auto* refusal = std::get_if<once::NotRun>(&last.outcome);
    this->recorder.Record(
        {.kind = refusal != nullptr ? "not_run" : "outcome_unknown",
         .organisation = admitted.organisation,
         .detail = refusal != nullptr
                       ? once::ToText(refusal->reason)
                       : std::get<once::Unknown>(last.outcome).detail});
  }
  return AnswerFor(last.outcome, admitted.request_id);
}

std::optional<Choice> Ingress::Choose(const Admitted& admitted,
                                      const std::set<std::string>& tried) {
  const Instant now = MonotonicNow();
  if (!admitted.dedupe_key.empty()) {
    return this->board.ChooseHome(admitted.route.service, admitted.dedupe_key,
                                  now);
  }
  return this->board.Choose(admitted.route.service, tried, now);
}

once::RunRequest Ingress::MakeRun(const Admitted& admitted,
                                  const Choice& choice) const {
  return {.request_id = RandomId(),
          .incarnation = choice.incarnation,
          .organisation = admitted.organisation,
          .upstream = choice.upstream,
          .fingerprint = admitted.fingerprint,
          .idempotent = admitted.route.repeat == config::Repeat::kIdempotent,
          .dedupe_key = admitted.dedupe_key,
          .time_left = admitted.deadline - MonotonicNow(),
          .request = admitted.request};
}

bool Ingress::MayRetry() {
  const std::lock_guard lock(this->budget_mutex);
  return this->budget.TryRetry();
}

http::Response Ingress::Refuse(const Admitted& admitted, Problem problem) {
  problem.request_id = admitted.request_id;
  this->Count(admitted, problem.reason);
  this->recorder.Record({.kind = "refused",
                         .organisation = admitted.organisation,
                         .detail = problem.reason});
  return AnswerFor(problem);
}

void Ingress::Count(const Admitted& admitted, const std::string& result) {
  this->recorder.counters().Add(
      "kingcupstair_requests_total",
      {{.name = "organisation", .value = admitted.organisation},
       {.name = "service", .value = admitted.route.service},
       {.name = "result", .value = result}});
}

}  // namespace kingcupstair::ingress
