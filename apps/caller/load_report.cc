#include "apps/caller/load_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace kingcupstair {
namespace {

constexpr double kMicrosPerMilli = 1000;
constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

}  // namespace

void LoadReport::Add(const std::string& order,
                     const http::Result& result,
                     Duration latency) {
  ++this->sent;
  if (!result.ok()) {
    ++this->by_status["cut"];
    ++this->by_outcome["cut"];
    return;
  }
  const http::Response& response = result.response;
  ++this->by_status[absl::StrCat(response.status)];
  ++this->by_outcome[std::string(
      http::FindHeader(response.headers, "Kingcupstair-Outcome"))];
  if (response.status == kOk) {
    this->latencies.push_back(latency);
    const bool order_matches =
        http::FindHeader(response.headers, "X-Order") == order;
    this->answered_wrongly += order_matches ? 0 : 1;
  }
  const bool refused = response.status == kTooManyRequests ||
                       response.status == kServiceUnavailable;
  if (refused && http::FindHeader(response.headers, "Retry-After").empty()) {
    ++this->refused_without_retry_after;
  }
}

double LoadReport::PercentileMillis(double fraction) const {
  if (this->latencies.empty()) {
    return 0;
  }
  std::vector<Duration> sorted = this->latencies;
  std::sort(sorted.begin(), sorted.end());
  const auto index =
      static_cast<size_t>(fraction * static_cast<double>(sorted.size() - 1));
  return static_cast<double>(sorted[index].count()) / kMicrosPerMilli;
}

std::string LoadReport::Text() const {
  return nlohmann::json{
      {"sent", this->sent},
      {"status", this->by_status},
      {"outcome", this->by_outcome},
      {"answered_wrongly", this->answered_wrongly},
      {"refused_without_retry_after", this->refused_without_retry_after},
      {"p50_ms", this->PercentileMillis(0.5)},
      {"p99_ms", this->PercentileMillis(0.99)},
      {"max_ms", this->PercentileMillis(1)}}
      .dump();
}

}  // namespace kingcupstair
