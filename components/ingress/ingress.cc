#include "components/ingress/ingress.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "components/base/hash.h"
#include "components/config/revision.h"
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
/// Retry-After of a host that is not in service. A host that has just started
/// receives its configuration within seconds.
constexpr Duration kNotInServiceRetryAfter{std::chrono::seconds(1)};
/// Retry-After of a host that stops. Other hosts can serve the request now.
constexpr Duration kStoppingRetryAfter{std::chrono::milliseconds(60)};
constexpr int64_t kMaxDeadlineMillis = 600'000;

}  // namespace

Ingress::Ingress(Options options,
                 const Snapshot<config::Configuration>& configuration,
                 const Snapshot<membership::StopSchedule>& stop_schedule,
                 UpstreamRegistry& registry,
                 AttemptRunner& runner,
                 guard::SharedCrashLedger& crashes,
                 events::Recorder& recorder)
    : options(std::move(options)),
      configuration(configuration),
      stop_schedule(stop_schedule),
      registry(registry),
      runner(runner),
      crashes(crashes),
      recorder(recorder),
      permits(this->options.permits) {}

http::Response Ingress::Handle(const http::Request& request,
                               const CancellationPtr& caller) {
  const std::string caller_request_id(
      this->options.header_names->callers_choose_request_ids
          ? http::FindHeader(request.headers,
                             this->options.header_names->request_id)
          : "");
  AdmittedRequest admitted{
      .request_id = caller_request_id.empty() ? RandomId() : caller_request_id,
      .request = request,
      .arrived = MonotonicNow(),
      .caller = caller};
  if (caller_request_id.empty() &&
      this->options.header_names->callers_choose_request_ids) {
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
      StableHash({admitted.organisation, "\n", request.method, "\n",
                  request.target, "\n", request.body.text()});
  if (auto problem = this->CheckCrashes(admitted)) {
    return problem;
  }
  if (admitted.route.internal) {
    admitted.repeat_probability =
        this->options.repeat_probability_of_call(admitted.service);
  }
  return this->TakePermit(current, admitted);
}

std::optional<Problem> Ingress::CheckInService(
    const config::Configuration& current) {
  const auto refuse = [](const char* reason,
                         Duration retry_after = kNotInServiceRetryAfter) {
    return Problem{
        .status = kUnavailable, .reason = reason, .retry_after = retry_after};
  };
  if (MonotonicNow() >= this->stop_schedule.Read()->refuse_from) {
    return refuse("host_stopping", kStoppingRetryAfter);
  }
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
  std::string host(http::FindHeader(request.headers, "Host"));
  host = host.substr(0, host.find(':'));
  std::transform(host.begin(), host.end(), host.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  const auto* route = current.FindRoute(host, request.method, request.target);
  if (route == nullptr) {
    return Problem{.status = kNotFound, .reason = "no_such_route"};
  }
  admitted.route = *route;
  admitted.service = this->ChooseService(*route);
  admitted.priority = route->priority;
  admitted.deadline = admitted.arrived + this->RequestTimeout(admitted);
  return std::nullopt;
}

// The choice doesn't depend on load. A service without free capacity refuses
// its requests, and they are not moved to another service of the route: that
// service may be a new version under test.
std::string Ingress::ChooseService(const config::RouteRule& route) {
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  std::vector<double> weights;
  for (const config::WeightedService& part : route.services) {
    weights.push_back(part.weight);
  }
  const std::lock_guard lock(this->mutex);
  std::discrete_distribution<size_t> pick(weights.begin(), weights.end());
  return route.services[pick(this->random)].service;
}

Duration Ingress::RequestTimeout(const AdmittedRequest& admitted) const {
  int64_t millis = 0;
  const std::string requested(http::FindHeader(
      admitted.request.headers, this->options.header_names->deadline));
  if (absl::SimpleAtoi(requested, &millis) && millis > 0) {
    return std::min<Duration>(
        admitted.route.deadline,
        std::chrono::milliseconds(std::min(millis, kMaxDeadlineMillis)));
  }
  return admitted.route.deadline;
}

// Upstreams must not see the callers' keys, and a caller must not be able to
// set header fields that only the fleet may set.
http::Headers Ingress::HeadersForUpstream(const http::Headers& headers) const {
  const HeaderNames& header_names = *this->options.header_names;
  http::Headers kept = http::WithoutHeaders(
      headers, {"Authorization", "Proxy-Authorization", "X-Api-Key",
                header_names.deadline, header_names.organisation,
                header_names.expected_upstream, header_names.caller_service});
  std::erase_if(kept, [](const http::Header& header) {
    return absl::StartsWithIgnoreCase(header.name, "Kingcupstair-");
  });
  return kept;
}

// The key is checked for each request, so that a withdrawn key stops working on
// open connections, too.
std::optional<Problem> Ingress::Authenticate(
    const config::Configuration& current,
    AdmittedRequest& admitted) const {
  if (admitted.route.access == config::Access::kOpen) {
    return std::nullopt;
  }
  const http::Headers& headers = admitted.request.headers;
  const std::string& scheme = this->options.header_names->authorization_prefix;
  const std::string_view authorization =
      http::FindHeader(headers, "Authorization");
  const bool has_scheme = authorization.substr(0, scheme.size()) == scheme;
  const std::string key(has_scheme ? authorization.substr(scheme.size())
                                   : http::FindHeader(headers, "X-Api-Key"));
  const auto* organisation =
      key.empty() ? nullptr : current.FindByKeyDigest(Sha256Hex(key));
  if (organisation == nullptr) {
    return Problem{.status = kUnauthorized, .reason = "key_not_valid"};
  }
  admitted.organisation = organisation->name;
  admitted.priority = organisation->priority.value_or(admitted.route.priority);
  const std::string_view idempotency_key =
      http::FindHeader(headers, "Idempotency-Key");
  if (!admitted.IsIdempotent() && !idempotency_key.empty()) {
    admitted.dedupe_key =
        Sha256Hex(absl::StrCat(admitted.organisation, "\n", admitted.service,
                               "\n", std::string(idempotency_key)));
  }
  return std::nullopt;
}

std::optional<Problem> Ingress::CheckCrashes(
    const AdmittedRequest& admitted) const {
  const Duration refused_for =
      this->crashes.RefusedFor(admitted.fingerprint, MonotonicNow());
  if (refused_for == Duration{}) {
    return std::nullopt;
  }
  return Problem{.status = kUnavailable,
                 .reason = "crashes_upstreams",
                 .retry_after = refused_for};
}

std::optional<Problem> Ingress::TakePermit(const config::Configuration& current,
                                           const AdmittedRequest& admitted) {
  const auto* rule = current.FindOrganisation(admitted.organisation);
  if (rule == nullptr || rule->unlimited) {
    this->permits.CountWithoutPermit(admitted);
    return std::nullopt;
  }
  return this->permits.Acquire(*rule, admitted);
}

http::Response Ingress::Run(const AdmittedRequest& admitted) {
  RequestRun run(
      {.registry = this->registry,
       .runner = this->runner,
       .try_retry = [this,
                     &admitted] { return this->permits.TryRetry(admitted); },
       .refused_for =
           [this, &admitted] {
             return this->crashes.RefusedFor(admitted.fingerprint,
                                             MonotonicNow());
           },
       .log_attempt_start =
           [this, &admitted](const std::string& attempt,
                             const ChosenUpstream& choice,
                             const rpc::SlotAnswer& slot) {
             LogAttemptStart(admitted, attempt, choice, slot,
                             this->crashes.CountCrashes(admitted.fingerprint,
                                                        MonotonicNow()));
           },
       .log_attempt_end =
           [&admitted](const char* step, const ChosenUpstream& choice,
                       const once::Outcome& outcome) {
             LogAttemptFailure(admitted, step, choice, outcome);
           },
       .log_no_room =
           [&admitted](const balancing::NoRoom& no_room) {
             LogNoRoom(admitted, no_room);
           },
       .caller_service = this->options.caller_service,
       .respond_by = [this] { return this->stop_schedule.Read()->respond_by; }},
      admitted);
  const auto outcome = run.Execute();
  if (!outcome.has_value()) {
    this->CountRequest(admitted, "caller_gone");
    return {.status = http::kCloseWithoutResponse};
  }
  this->RecordOutcome(admitted, *outcome);
  return MakeResponse(
      *outcome, {.request_id = admitted.request_id,
                 .request_id_header = this->options.header_names->request_id});
}

void Ingress::RecordOutcome(const AdmittedRequest& admitted,
                            const once::Outcome& outcome) {
  this->CountRequest(admitted, once::ResultOf(outcome));
  this->recorder.counters().Observe(
      "kingcupstair_request_duration",
      {{.name = "service", .value = admitted.service}},
      MonotonicNow() - admitted.arrived);
  const auto* ran = std::get_if<once::Ran>(&outcome);
  const bool served =
      ran != nullptr && ran->response.status < kFirstServerError;
  Fields fields = CommonFields(admitted, "answer");
  fields.push_back({.name = "requests_ahead",
                    .value = absl::StrCat(admitted.request.requests_ahead)});
  AddOutcomeFields(outcome, fields);
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
  problem.request_id_header = this->options.header_names->request_id;
  this->CountRequest(admitted, problem.reason);
  this->recorder.Record({.kind = "refused",
                         .organisation = admitted.organisation,
                         .detail = problem.reason});
  Fields fields = CommonFields(admitted, "admit");
  fields.push_back({.name = "reason", .value = problem.reason});
  fields.push_back(
      {.name = "revision",
       .value = config::RevisionText(this->configuration.Read()->revision())});
  fields.push_back(
      {.name = "retry_after_ms",
       .value = absl::StrCat(ToMillisRoundedUp(problem.retry_after))});
  fields.insert(fields.end(), problem.inputs.begin(), problem.inputs.end());
  logging::Write(logging::Level::kWarning, "a request was refused", fields);
  return MakeResponse(problem);
}

void Ingress::CountRequest(const AdmittedRequest& admitted,
                           const std::string& result) {
  this->recorder.counters().Add(
      "kingcupstair_requests_total",
      {{.name = "organisation", .value = admitted.organisation},
       {.name = "service", .value = admitted.service},
       {.name = "result", .value = result}});
}

}  // namespace kingcupstair::ingress
