#include "apps/upstream_standin/upstream_service.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "components/fibers/worker_pool.h"

namespace kingcupstair {
namespace {

constexpr Duration kHangTime{std::chrono::seconds(30)};
/// Longest response that a request can ask for in X-Response-Bytes.
constexpr size_t kMaxResponseBytes = size_t{16} * 1024 * 1024;
constexpr int kCrashExitCode = 70;
/// Each concurrent request above the capacity adds this many times the normal
/// work time.
constexpr int kOverloadFactor = 10;

}  // namespace

UpstreamService::UpstreamService(Options options)
    : options(std::move(options)) {
  if (!this->options.run_log.empty()) {
    this->run_log.open(this->options.run_log, std::ios::app);
  }
}

http::Response UpstreamService::Handle(const http::Request& request) {
  if (request.target == "/health") {
    return this->Health();
  }
  if (request.target == "/load") {
    const int in_flight_at_call = this->in_flight;
    fibers::SleepFor(std::chrono::milliseconds(this->faults.load_lag_ms));
    return http::JsonResponse(200,
                              nlohmann::json{{"in_flight", in_flight_at_call},
                                             {"slots", this->options.slots}}
                                      .dump() +
                                  "\n");
  }
  if (request.target == "/counts") {
    return this->Counts();
  }
  if (request.target == "/faults" && request.method == "POST") {
    return this->SetFaults(request.body.text());
  }
  return this->WithNotice(this->Work(request));
}

http::Response UpstreamService::WithNotice(http::Response response) const {
  if (!this->faults.rate_limit.empty()) {
    response.headers.push_back(
        {.name = "Kingcupstair-Rate-Limit", .value = this->faults.rate_limit});
  }
  if (this->faults.leaving) {
    response.headers.push_back({.name = "Kingcupstair-Leaving", .value = "1"});
  }
  return response;
}

http::Response UpstreamService::Work(const http::Request& request) {
  const std::string_view crash = http::FindHeader(request.headers, "X-Crash");
  if (!crash.empty() && this->IsDrawn(this->faults.reject_share)) {
    return {.status = 500, .body = "not now\n"};
  }
  const std::string order(http::FindHeader(request.headers, "X-Order"));
  this->LogRun(order);
  if (crash == "stop") {
    std::raise(SIGSTOP);
  } else if (!crash.empty()) {
    std::_Exit(kCrashExitCode);
  }
  const bool has_key =
      !http::FindHeader(request.headers, "Authorization").empty() ||
      !http::FindHeader(request.headers, "X-Api-Key").empty();
  this->keys_seen += has_key ? 1 : 0;
  if (!order.empty()) {
    ++this->runs[order];
  }
  ++this->in_flight;
  this->most_at_once = std::max(this->most_at_once, this->in_flight);
  const bool is_overloaded = this->in_flight > this->ConcurrentCapacity();
  this->overloaded += is_overloaded ? 1 : 0;
  fibers::SleepFor(this->WorkTime());
  --this->in_flight;
  if (this->faults.cut) {
    return {.status = http::kCloseWithoutResponse};
  }
  if (this->IsDrawn(this->faults.error_share)) {
    return {.status = 500, .body = "failed\n"};
  }
  ++this->answered;
  size_t response_bytes = 0;
  if (absl::SimpleAtoi(
          std::string(http::FindHeader(request.headers, "X-Response-Bytes")),
          &response_bytes) &&
      response_bytes > 0) {
    return {
        .status = 200,
        .body = std::string(std::min(response_bytes, kMaxResponseBytes), '.')};
  }
  return {.status = 200,
          .headers = {{.name = "X-Order", .value = order},
                      {.name = "X-Upstream", .value = this->options.id}},
          .body = absl::StrCat(request.method, " ", request.target, " by ",
                               this->options.id, "\n")};
}

bool UpstreamService::IsDrawn(double share) {
  return std::bernoulli_distribution(share)(this->random);
}

void UpstreamService::LogRun(const std::string& order) {
  if (this->run_log.is_open()) {
    this->run_log << WallClockMillis() << " " << this->options.id << " "
                  << order << std::endl;
  }
}

Duration UpstreamService::WorkTime() const {
  if (this->faults.hang) {
    return kHangTime;
  }
  const int excess = std::max(0, this->in_flight - this->ConcurrentCapacity());
  return this->options.work * (1 + kOverloadFactor * excess) +
         std::chrono::milliseconds(this->faults.slow_ms);
}

int UpstreamService::ConcurrentCapacity() const {
  if (this->answered >= this->options.cold_requests) {
    return this->options.slots;
  }
  const int steps = this->answered * 10 / this->options.cold_requests;
  return std::min(this->options.slots, 1 + steps);
}

http::Response UpstreamService::Health() const {
  const bool healthy = !this->faults.hang && this->faults.error_share == 0 &&
                       this->faults.reject_share == 0 &&
                       this->faults.slow_ms == 0;
  return healthy || this->faults.lie ? http::Response{.body = "ok\n"}
                                     : http::Response{.status = 503};
}

http::Response UpstreamService::SetFaults(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) {
    return {.status = 400, .body = "expected a JSON object\n"};
  }
  this->faults = {.slow_ms = json.value("slow_ms", 0),
                  .error_share = json.value("error_share", 0.0),
                  .reject_share = json.value("reject_share", 0.0),
                  .hang = json.value("hang", false),
                  .lie = json.value("lie", false),
                  .cut = json.value("cut", false),
                  .load_lag_ms = json.value("load_lag_ms", 0),
                  .rate_limit = json.value("rate_limit", ""),
                  .leaving = json.value("leaving", false)};
  if (json.value("cold", false)) {
    this->answered = 0;
  }
  return {};
}

http::Response UpstreamService::Counts() const {
  return http::JsonResponse(200,
                            nlohmann::json{{"runs", this->runs},
                                           {"keys_seen", this->keys_seen},
                                           {"most_at_once", this->most_at_once},
                                           {"overloaded", this->overloaded},
                                           {"answered", this->answered}}
                                    .dump() +
                                "\n");
}

}  // namespace kingcupstair
