#include "components/ingress/ingress.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "components/base/hash.h"
#include "components/ingress/request_log.h"
#include "components/ingress/request_run.h"
#include "components/logging/log.h"

namespace kingcupstair::ingress {
namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kFirstServerError = 500;
constexpr int kUnavailable = 503;
/// When to come back to a host that is not in service yet: a configuration is
/// there within seconds.
constexpr Duration kSoon{std::chrono::seconds(1)};
constexpr int64_t kMaxDeadlineMillis = 600'000;

}  // namespace

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
      recorder(recorder),
      permits(this->options.permits) {}

http::Response Ingress::Handle(const http::Request& request,
                               const CancellationPtr& caller) {
  const std::string named(
      this->options.dialect->callers_name_requests
          ? http::Find(request.headers, this->options.dialect->request_id)
          : "");
  AdmittedRequest admitted{.request_id = named.empty() ? RandomId() : named,
                           .request = request,
                           .arrived = MonotonicNow(),
                           .caller = caller};
  if (named.empty() && this->options.dialect->callers_name_requests) {
    return this->Refuse(admitted,
                        {.status = kBadRequest, .reason = "no_request_id"});
  }
  const auto current = this->configuration.Read();
  if (auto problem = this->Admit(*current, admitted)) {
    return this->Refuse(admitted, *problem);
  }
  return this->Run(admitted);
}

std::optional<Problem> Ingress::Admit(const config::Configuration& current,
                                      AdmittedRequest& admitted) {
  if (auto problem = this->CheckInService(current)) {
    return problem;
  }
  if (auto problem = this->FindRoute(current, admitted)) {
    return problem;
  }
  if (auto problem = this->Authenticate(current, admitted)) {
    return problem;
  }
  const http::Request& request = admitted.request;
  admitted.request.headers = this->HeadersForUpstream(request.headers);
  admitted.fingerprint =
      StableHash(absl::StrCat(admitted.organisation, "\n", request.method, "\n",
                              request.target, "\n", request.body));
  if (auto problem = this->CheckCrashes(admitted)) {
    return problem;
  }
  return this->TakePermit(current, admitted);
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

std::optional<Problem> Ingress::FindRoute(const config::Configuration& current,
                                          AdmittedRequest& admitted) {
  const http::Request& request = admitted.request;
  std::string host(http::Find(request.headers, "Host"));
  host = host.substr(0, host.find(':'));
  std::transform(host.begin(), host.end(), host.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  const auto* route = current.FindRoute(host, request.method, request.target);
  if (route == nullptr) {
    return Problem{.status = kNotFound, .reason = "no_such_route"};
  }
  admitted.route = *route;
  admitted.service = this->ChoosePart(*route);
  admitted.priority = route->priority;
  admitted.deadline = admitted.arrived + this->TimeFor(admitted);
  return std::nullopt;
}

// A part that is short of room refuses: what was meant for it is not moved to
// another, which may be a trial of a new version of the service.
std::string Ingress::ChoosePart(const config::RouteRule& route) {
  if (route.parts.size() == 1) {
    return route.parts.front().service;
  }
  std::vector<double> weights;
  for (const config::RoutePart& part : route.parts) {
    weights.push_back(part.weight);
  }
  const std::lock_guard lock(this->mutex);
  std::discrete_distribution<size_t> pick(weights.begin(), weights.end());
  return route.parts[pick(this->random)].service;
}

Duration Ingress::TimeFor(const AdmittedRequest& admitted) const {
  int64_t millis = 0;
  const std::string asked(
      http::Find(admitted.request.headers, this->options.dialect->deadline));
  if (absl::SimpleAtoi(asked, &millis) && millis > 0) {
    return std::min<Duration>(
        admitted.route.deadline,
        std::chrono::milliseconds(std::min(millis, kMaxDeadlineMillis)));
  }
  return admitted.route.deadline;
}

// What of a caller's headers no upstream gets to see: keys, and names that
// only the fleet may use.
http::Headers Ingress::HeadersForUpstream(const http::Headers& headers) const {
  const Dialect& dialect = *this->options.dialect;
  http::Headers kept = http::Without(
      headers, {"Authorization", "Proxy-Authorization", "X-Api-Key",
                dialect.deadline, dialect.organisation,
                dialect.expected_upstream, dialect.caller_service});
  std::erase_if(kept, [](const http::Header& header) {
    return absl::StartsWithIgnoreCase(header.name, "Kingcupstair-");
  });
  return kept;
}

// The key is checked anew with each request, so a withdrawn one stops working
// on open connections too.
std::optional<Problem> Ingress::Authenticate(
    const config::Configuration& current,
    AdmittedRequest& admitted) const {
  if (admitted.route.access == config::Access::kOpen) {
    return std::nullopt;
  }
  const http::Headers& headers = admitted.request.headers;
  const std::string& scheme = this->options.dialect->key_scheme;
  const std::string_view authorization = http::Find(headers, "Authorization");
  const bool has_scheme = authorization.substr(0, scheme.size()) == scheme;
  const std::string key(has_scheme ? authorization.substr(scheme.size())
                                   : http::Find(headers, "X-Api-Key"));
  const auto* organisation =
      key.empty() ? nullptr : current.FindByKeyDigest(Sha256Hex(key));
  if (organisation == nullptr) {
    return Problem{.status = kUnauthorized, .reason = "key_not_valid"};
  }
  admitted.organisation = organisation->name;
  admitted.priority = organisation->priority.value_or(admitted.route.priority);
  const std::string_view repeat_key = http::Find(headers, "Idempotency-Key");
  if (!admitted.IsIdempotent() && !repeat_key.empty()) {
    admitted.dedupe_key =
        Sha256Hex(absl::StrCat(admitted.organisation, "\n", admitted.service,
                               "\n", std::string(repeat_key)));
  }
  return std::nullopt;
}

std::optional<Problem> Ingress::CheckCrashes(
    const AdmittedRequest& admitted) const {
  const Duration refused =
      this->crashes.RefusedFor(admitted.fingerprint, MonotonicNow());
  if (refused == Duration{}) {
    return std::nullopt;
  }
  return Problem{.status = kUnavailable,
                 .reason = "crashes_upstreams",
                 .retry_after = refused};
}

std::optional<Problem> Ingress::TakePermit(const config::Configuration& current,
                                           const AdmittedRequest& admitted) {
  const auto* rule = current.FindOrganisation(admitted.organisation);
  if (rule == nullptr || rule->unlimited) {
    this->permits.PassWithout(admitted);
    return std::nullopt;
  }
  return this->permits.Take(*rule, admitted);
}

http::Response Ingress::Run(const AdmittedRequest& admitted) {
  RequestRun run(
      {.board = this->board,
       .runner = this->runner,
       .may_retry = [this,
                     &admitted] { return this->permits.MayRetry(admitted); },
       .note_start =
           [&admitted](const std::string& attempt, const Choice& choice,
                       const rpc::SlotAnswer& slot) {
             LogStart(admitted, attempt, choice, slot);
           },
       .note_end =
           [&admitted](const char* step, const Choice& choice,
                       const once::Outcome& outcome) {
             LogEnd(admitted, step, choice, outcome);
           },
       .caller_service = this->options.caller_service},
      admitted);
  const auto outcome = run.Execute();
  if (!outcome.has_value()) {
    this->Count(admitted, "caller_gone");
    return {.status = http::kCloseWithoutAnswer};
  }
  this->NoteOutcome(admitted, *outcome);
  return AnswerFor(*outcome,
                   {.request_id = admitted.request_id,
                    .request_id_header = this->options.dialect->request_id});
}

void Ingress::NoteOutcome(const AdmittedRequest& admitted,
                          const once::Outcome& outcome) {
  this->Count(admitted, once::ResultOf(outcome));
  this->recorder.counters().Observe(
      "kingcupstair_request_duration",
      {{.name = "service", .value = admitted.service}},
      MonotonicNow() - admitted.arrived);
  const auto* ran = std::get_if<once::Ran>(&outcome);
  const bool served =
      ran != nullptr && ran->response.status < kFirstServerError;
  Fields fields = FieldsOf(admitted, "answer");
  AddOutcome(outcome, fields);
  logging::Write(served ? logging::Level::kInfo : logging::Level::kWarning,
                 served ? "a request was served" : "a request was not served",
                 fields);
  if (ran != nullptr) {
    return;
  }
  const auto* refusal = std::get_if<once::NotRun>(&outcome);
  this->recorder.Record(
      {.kind = refusal != nullptr ? "not_run" : "outcome_unknown",
       .organisation = admitted.organisation,
       .detail = refusal != nullptr ? once::ToText(refusal->reason)
                                    : std::get<once::Unknown>(outcome).detail});
}

http::Response Ingress::Refuse(const AdmittedRequest& admitted,
                               Problem problem) {
  problem.request_id = admitted.request_id;
  problem.request_id_header = this->options.dialect->request_id;
  this->Count(admitted, problem.reason);
  this->recorder.Record({.kind = "refused",
                         .organisation = admitted.organisation,
                         .detail = problem.reason});
  Fields fields = FieldsOf(admitted, "admit");
  fields.push_back({.name = "reason", .value = problem.reason});
  fields.push_back(
      {.name = "revision",
       .value = absl::StrCat(this->configuration.Read()->revision())});
  fields.push_back(
      {.name = "retry_after_ms",
       .value = absl::StrCat(ToMillisRoundedUp(problem.retry_after))});
  fields.insert(fields.end(), problem.inputs.begin(), problem.inputs.end());
  logging::Write(logging::Level::kWarning, "a request was refused", fields);
  return AnswerFor(problem);
}

void Ingress::Count(const AdmittedRequest& admitted,
                    const std::string& result) {
  this->recorder.counters().Add(
      "kingcupstair_requests_total",
      {{.name = "organisation", .value = admitted.organisation},
       {.name = "service", .value = admitted.service},
       {.name = "result", .value = result}});
}

}  // namespace kingcupstair::ingress
