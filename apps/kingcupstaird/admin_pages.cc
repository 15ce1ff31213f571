#include "apps/kingcupstaird/admin_pages.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "components/base/error.h"

namespace kingcupstair {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;

http::Response PlainTextResponse(std::string text) {
  return {.status = kOk,
          .headers = {{.name = "Content-Type", .value = "text/plain"}},
          .body = std::move(text)};
}

http::Response ErrorResponse(int status, const std::string& message) {
  return http::JsonResponse(status,
                            nlohmann::json{{"error", message}}.dump() + "\n");
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

}  // namespace

AdminPages::AdminPages(control::Fleet& fleet,
                       guard::Guard& guard,
                       const site::SiteInterface& interface,
                       const std::atomic<bool>& leaving)
    : fleet(fleet), guard(guard), interface(interface), leaving(leaving) {}

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
  return nlohmann::json{{"host", this->fleet.settings.host},
                        {"zone", this->fleet.settings.zone},
                        {"region", this->fleet.settings.region},
                        {"revision", this->fleet.config.Revision()},
                        {"isolated", isolated},
                        {"leaving", this->leaving.load()},
                        {"share", this->fleet.rates.Share()},
                        {"hosts", HostsToJson(this->fleet.directory.All())},
                        {"upstreams", UpstreamsToJson(this->guard.Upstreams())}}
             .dump() +
         "\n";
}

}  // namespace kingcupstair
