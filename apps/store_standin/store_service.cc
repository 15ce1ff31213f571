#include "apps/store_standin/store_service.h"

#include <nlohmann/json.hpp>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "components/fibers/worker_pool.h"

namespace kingcupstair {
namespace {

constexpr size_t kMaxValueBytes = 1024 * 1024;
constexpr char kKeyPrefix[] = "/v1/kv/";
constexpr Duration kWatchPollInterval{std::chrono::milliseconds(5)};

uint64_t QueryNumber(const std::string& query, const std::string& name) {
  uint64_t value = 0;
  for (const absl::string_view part : absl::StrSplit(query, '&')) {
    const std::string prefix = name + "=";
    if (absl::StartsWith(part, prefix) &&
        !absl::SimpleAtoi(part.substr(prefix.size()), &value)) {
      return 0;
    }
  }
  return value;
}

http::Response PlainTextResponse(int status, const std::string& text) {
  return {.status = status, .body = text};
}

http::Response ValueResponse(const StoredValue& value) {
  return {
      .status = 200,
      .headers = {{.name = "X-Version", .value = absl::StrCat(value.version)}},
      .body = value.value};
}

}  // namespace

// The era is that at the time of the response: a watch that was waiting during
// a restore is answered in the new era.
http::Response StoreService::Handle(const http::Request& request) {
  http::Response response = this->HandleCall(request);
  if (this->era > 0) {
    response.headers.push_back(
        {.name = "X-Store-Era", .value = absl::StrCat(this->era)});
  }
  return response;
}

http::Response StoreService::HandleCall(const http::Request& request) {
  if (request.target == "/v1/copy") {
    this->state.TakeCopy();
    return PlainTextResponse(200, "");
  }
  if (request.target == "/v1/restore") {
    this->state.RestoreCopy();
    ++this->era;
    return PlainTextResponse(200, "");
  }
  if (request.target == "/v1/faults") {
    return this->SetFaults(request.body.text());
  }
  if (request.target == "/v1/counts") {
    return this->Counts();
  }
  if (this->faults.down) {
    return {.status = http::kCloseWithoutResponse};
  }
  if (this->faults.delay_ms > 0) {
    fibers::SleepFor(std::chrono::milliseconds(this->faults.delay_ms));
  }
  const http::Response response = this->HandleKey(request);
  if (request.method != "GET" && this->faults.lose_answers > 0) {
    --this->faults.lose_answers;
    return {.status = http::kCloseWithoutResponse};
  }
  return this->faults.down
             ? http::Response{.status = http::kCloseWithoutResponse}
             : response;
}

http::Response StoreService::HandleKey(const http::Request& request) {
  const std::vector<std::string> parts =
      absl::StrSplit(request.target, absl::MaxSplits('?', 1));
  if (!absl::StartsWith(parts[0], kKeyPrefix)) {
    return PlainTextResponse(404, "no such page\n");
  }
  const std::string key = parts[0].substr(std::string(kKeyPrefix).size());
  if (request.method == "GET") {
    return this->Read(key, parts.size() > 1 ? parts[1] : "");
  }
  if (request.method == "PUT") {
    return this->Write(key, request);
  }
  if (request.method == "DELETE") {
    ++this->counts["write"];
    this->state.Delete(key);
    return PlainTextResponse(200, "");
  }
  return PlainTextResponse(405, "GET, PUT or DELETE\n");
}

http::Response StoreService::Read(const std::string& key,
                                  const std::string& query) {
  const uint64_t after = QueryNumber(query, "after");
  const Duration wait =
      std::chrono::milliseconds(QueryNumber(query, "wait_ms"));
  ++this->counts[wait > Duration{} ? "watch" : "read"];
  const Instant deadline = MonotonicNow() + wait;
  while (true) {
    const auto value = this->state.Get(key, MonotonicNow());
    const bool is_newer = value.has_value() && value->version > after;
    if (is_newer || MonotonicNow() >= deadline || this->faults.down) {
      return value.has_value() ? ValueResponse(*value)
                               : PlainTextResponse(404, "");
    }
    fibers::SleepFor(kWatchPollInterval);
  }
}

http::Response StoreService::Write(const std::string& key,
                                   const http::Request& request) {
  ++this->counts["write"];
  if (request.body.size() > kMaxValueBytes) {
    return PlainTextResponse(413, "a value has at most 1 MB\n");
  }
  const Instant now = MonotonicNow();
  StoredValue value{.value = request.body.text()};
  int64_t lease_ms = 0;
  const std::string lease_text(http::FindHeader(request.headers, "X-Lease-Ms"));
  if (absl::SimpleAtoi(lease_text, &lease_ms)) {
    value.expires = now + std::chrono::milliseconds(lease_ms);
  }
  std::optional<uint64_t> expected;
  uint64_t parsed_version = 0;
  const std::string expected_text(
      http::FindHeader(request.headers, "X-Expect-Version"));
  if (absl::SimpleAtoi(expected_text, &parsed_version)) {
    expected = parsed_version;
  }
  const auto version = this->state.Put(key, value, expected, now);
  if (!version.has_value()) {
    return PlainTextResponse(409, "the key stands at another version\n");
  }
  return {.status = 200,
          .headers = {{.name = "X-Version", .value = absl::StrCat(*version)}}};
}

http::Response StoreService::SetFaults(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) {
    return PlainTextResponse(400, "expected a JSON object\n");
  }
  this->faults = {.down = json.value("down", false),
                  .delay_ms = json.value("delay_ms", 0),
                  .lose_answers = json.value("lose_answers", 0)};
  return PlainTextResponse(200, "");
}

http::Response StoreService::Counts() const {
  return http::JsonResponse(200, nlohmann::json(this->counts).dump() + "\n");
}

}  // namespace kingcupstair
