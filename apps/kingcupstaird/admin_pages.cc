#include "apps/kingcupstaird/admin_pages.h"

#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "components/base/error.h"
#include "components/base/json_text.h"
#include "components/ingress/request_run.h"

namespace kingcupstair {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;
constexpr std::string_view kPlacePage = "/place?";

http::Response PlainTextResponse(std::string text) {
  return {.status = kOk,
          .headers = {{.name = "Content-Type", .value = "text/plain"}},
          .body = std::move(text)};
}

http::Response ErrorResponse(int status, const std::string& message) {
  return http::JsonResponse(status, JsonText({{"error", message}}) + "\n");
}

nlohmann::json HostsToJson(const std::vector<membership::HostUpdate>& updates) {
  nlohmann::json hosts = nlohmann::json::array();
  for (const membership::HostUpdate& update : updates) {
    hosts.push_back({{"host", update.record.host},
                     {"zone", update.record.zone},
                     {"admin", update.record.admin},
                     {"liveness", ToText(update.liveness)},
                     {"leaving", update.record.leaving},
                     {"upstreams", update.record.upstreams.size()}});
  }
  return hosts;
}

nlohmann::json UpstreamsToJson(
    const std::vector<membership::UpstreamRecord>& records) {
  nlohmann::json upstreams = nlohmann::json::array();
  for (const membership::UpstreamRecord& record : records) {
    upstreams.push_back({{"id", record.id},
                         {"service", record.service},
                         {"limit", record.limit},
                         {"latency_us", record.latency.count()},
                         {"error_share", record.error_share},
                         {"finished", record.finished}});
  }
  return upstreams;
}

std::map<std::string, std::string> ParseQuery(const std::string& query) {
  std::map<std::string, std::string> values;
  for (const absl::string_view part : absl::StrSplit(query, '&')) {
    const std::pair<std::string, std::string> value =
        absl::StrSplit(part, absl::MaxSplits('=', 1));
    values.insert(value);
  }
  return values;
}

nlohmann::json UpstreamToJson(const health::UpstreamView& view,
                              const std::string& state) {
  return {{"id", view.id},
          {"host", view.host},
          {"zone", view.zone},
          {"state", state}};
}

nlohmann::json PreviewToJson(const ingress::PlacementPreview& preview) {
  nlohmann::json upstreams = nlohmann::json::array();
  for (const ingress::PreviewedUpstream& each : preview.upstreams) {
    nlohmann::json out = UpstreamToJson(each.candidate.view, each.state);
    out["in_flight"] = each.candidate.view.in_flight;
    out["limit"] = each.candidate.view.limit;
    out["latency_us"] = each.candidate.view.latency.count();
    out["failure_probability"] = each.candidate.view.failure_probability;
    if (each.candidate.reported_wait.has_value()) {
      out["wait_us"] = each.candidate.reported_wait->count();
      out["age_ms"] = ToMillisRoundedUp(each.candidate.age);
      out["sent_since"] = each.candidate.sent_since_report;
    }
    upstreams.push_back(std::move(out));
  }
  nlohmann::json page{{"placement", preview.by_work ? "work" : "random"},
                      {"upstreams", std::move(upstreams)}};
  if (preview.no_room.has_value()) {
    page["refused"] = {
        {"reason", "queue_full"},
        {"retry_after_ms", ToMillisRoundedUp(preview.no_room->retry_after)},
        {"report_age_ms", ToMillisRoundedUp(preview.no_room->age)}};
  } else if (preview.placed.has_value()) {
    page["choice"] = {
        {"upstream", preview.placed->choice.upstream},
        {"host", preview.placed->choice.host},
        {"reason", preview.by_work ? balancing::ToText(preview.placed->reason)
                                   : "random"},
        {"other_zone", preview.placed->choice.in_other_zone},
        {"expects_wait", preview.placed->expects_wait}};
  } else {
    page["refused"] = {{"reason", "upstream_gone"}};
  }
  return page;
}

}  // namespace

AdminPages::AdminPages(control::Fleet& fleet,
                       guard::Guard& guard,
                       const ingress::UpstreamRegistry& registry,
                       const site::SiteInterface& interface,
                       const std::atomic<bool>& leaving)
    : fleet(fleet),
      guard(guard),
      registry(registry),
      interface(interface),
      leaving(leaving) {}

http::Response AdminPages::Handle(const http::Request& request) {
  if (const auto call = this->interface.read_upstream_call(request)) {
    return this->HandleUpstreamCall(*call);
  }
  if (request.target == this->interface.readiness_target) {
    return this->Readiness();
  }
  if (request.target == "/status") {
    return http::JsonResponse(kOk, this->StatusJson());
  }
  if (request.target == "/metrics") {
    return PlainTextResponse(this->fleet.recorder.counters().Text());
  }
  if (request.target.rfind(kPlacePage, 0) == 0) {
    return this->Place(request.target.substr(kPlacePage.size()));
  }
  if (request.target == "/events") {
    return http::JsonResponse(kOk, this->EventsJsonLines());
  }
  if (request.target == "/config") {
    return PlainTextResponse(this->fleet.config.Text());
  }
  return http::JsonResponse(kNotFound, "{\"error\":\"no such page\"}\n");
}

http::Response AdminPages::HandleUpstreamCall(
    const absl::StatusOr<site::UpstreamCall>& call) {
  if (!call.ok()) {
    return ErrorResponse(kBadRequest, MessageOf(call.status()));
  }
  const auto* left = std::get_if<site::Departure>(&*call);
  const std::optional<std::string> departure =
      left != nullptr
          ? this->guard.Withdraw(left->id)
          : this->guard.Announce(std::get<guard::Announcement>(*call));
  if (departure.has_value()) {
    const absl::Status kept = this->fleet.keep_departure(*departure);
    if (!kept.ok()) {
      return ErrorResponse(
          kServiceUnavailable,
          absl::StrCat("the departure is not acknowledged, since it could not "
                       "be kept: ",
                       MessageOf(kept)));
    }
  }
  return http::JsonResponse(kOk, "{}\n");
}

// The registry leaves out hosts that leave and what operators took out of
// service.
http::Response AdminPages::Place(const std::string& query) const {
  auto values = ParseQuery(query);
  uint64_t body_bytes = 0;
  if (!values["body-bytes"].empty() &&
      !absl::SimpleAtoi(values["body-bytes"], &body_bytes)) {
    return ErrorResponse(kBadRequest, "body-bytes is no number");
  }
  const auto active = this->fleet.config.snapshot().Read();
  const auto respond = [this](const char* member, nlohmann::json value) {
    return http::JsonResponse(kOk,
                              JsonText({{"host", this->fleet.settings.host},
                                        {"zone", this->fleet.settings.zone},
                                        {member, std::move(value)}}) +
                                  "\n");
  };
  const config::RouteRule* route =
      active->FindRoute(values["host"], values["method"], values["path"]);
  const std::string& organisation = values["organisation"];
  if (active->revision() == 0) {
    return respond("refused", "no_configuration_yet");
  }
  if (this->IsIsolated()) {
    return respond("refused", "host_isolated");
  }
  if (route == nullptr) {
    return respond("refused", "no_such_route");
  }
  if (!organisation.empty() &&
      active->FindOrganisation(organisation) == nullptr) {
    return respond("refused", "no organisation has this name");
  }
  const bool idempotent =
      route->idempotency == config::Idempotency::kIdempotent;
  nlohmann::json pages = nlohmann::json::array();
  for (const config::WeightedService& part : route->services) {
    const ingress::PlacementPreview preview = this->registry.Preview(
        part.service,
        {.objective = route->objective,
         .body_bytes = body_bytes,
         .health = idempotent && route->attempts > 1
                       ? balancing::HealthPreference::kAny
                       : balancing::HealthPreference::kLeastLikelyToFail},
        ingress::MaxQueueWaitOf(*route), MonotonicNow());
    nlohmann::json page = PreviewToJson(preview);
    page["service"] = part.service;
    for (const auto& host : this->fleet.directory.HostsNotDead()) {
      for (const auto& upstream : host.upstreams) {
        const bool out = active->IsZoneOutOfService(host.zone) ||
                         active->IsUpstreamOutOfService(upstream.id);
        if (upstream.service == part.service && (host.leaving || out)) {
          page["upstreams"].push_back(UpstreamToJson(
              {.id = upstream.id, .host = host.host, .zone = host.zone},
              host.leaving ? "leaving" : "out-of-service"));
        }
      }
    }
    pages.push_back(std::move(page));
  }
  return respond("services", std::move(pages));
}

bool AdminPages::IsIsolated() const {
  return !this->interface.serves_when_isolated &&
         this->fleet.isolation.IsIsolated(this->fleet.directory.size(),
                                          MonotonicNow());
}

http::Response AdminPages::Readiness() const {
  const bool ready = !this->leaving && this->fleet.config.Revision() > 0;
  return {.status = ready ? kOk : kServiceUnavailable};
}

std::string AdminPages::EventsJsonLines() const {
  std::string lines;
  for (const events::Event& event : this->fleet.recorder.ring().All()) {
    lines += events::EncodeEvent(event) + "\n";
  }
  return lines;
}

std::string AdminPages::StatusJson() const {
  const bool isolated = this->fleet.isolation.IsIsolated(
      this->fleet.directory.size(), MonotonicNow());
  return JsonText({{"host", this->fleet.settings.host},
                   {"zone", this->fleet.settings.zone},
                   {"region", this->fleet.settings.region},
                   {"revision", this->fleet.config.Revision()},
                   {"isolated", isolated},
                   {"leaving", this->leaving.load()},
                   {"share", this->fleet.rates.Share()},
                   {"hosts", HostsToJson(this->fleet.directory.All())},
                   {"upstreams", UpstreamsToJson(this->guard.Upstreams())}}) +
         "\n";
}

}  // namespace kingcupstair
