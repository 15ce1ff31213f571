#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "components/store/protocol.h"

namespace kingcupstair::store {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflictStatus = 409;
constexpr char kVersionHeader[] = "X-Version";
constexpr char kExpectedVersionHeader[] = "X-Expect-Version";
constexpr char kEraHeader[] = "X-Store-Era";

std::string KeyTarget(const std::string& key) {
  return absl::StrCat("/v1/kv/", key);
}

absl::Status UnexpectedStatusError(int status) {
  return absl::UnavailableError(absl::StrCat("the store answered ", status));
}

http::Request EncodePut(const PutCall& call) {
  http::Request request{
      .method = "PUT", .target = KeyTarget(call.key), .body = call.value};
  if (call.expected.has_value()) {
    request.headers.push_back({.name = kExpectedVersionHeader,
                               .value = absl::StrCat(*call.expected)});
  }
  return request;
}

absl::StatusOr<Entry> ReadEntry(const http::Response& response) {
  if (response.status == kNotFound) {
    return Entry{};
  }
  Entry entry{.value = response.body.text()};
  const std::string version(http::FindHeader(response.headers, kVersionHeader));
  if (response.status != kOk || !absl::SimpleAtoi(version, &entry.version)) {
    return UnexpectedStatusError(response.status);
  }
  return entry;
}

absl::StatusOr<PutResult> ReadPut(const http::Response& response) {
  if (response.status == kConflictStatus) {
    return PutResult::kConflict;
  }
  if (response.status != kOk) {
    return UnexpectedStatusError(response.status);
  }
  return PutResult::kWritten;
}

}  // namespace

std::optional<uint64_t> ReadNumberHeader(const http::Response& response,
                                         const std::string& name) {
  uint64_t number = 0;
  const std::string text(http::FindHeader(response.headers, name));
  return absl::SimpleAtoi(text, &number) ? std::optional(number) : std::nullopt;
}

Protocol FleetProtocol() {
  return {
      .get =
          [](const std::string& key) {
            return http::Request{.target = KeyTarget(key)};
          },
      .put = EncodePut,
      .remove =
          [](const std::string& key) {
            return http::Request{.method = "DELETE", .target = KeyTarget(key)};
          },
      .watch_key =
          [](const std::string& key, uint64_t after, Duration wait) {
            return http::Request{
                .target = absl::StrCat(KeyTarget(key), "?after=", after,
                                       "&wait_ms=", ToMillisRoundedUp(wait))};
          },
      .read_entry = ReadEntry,
      .read_put = ReadPut,
      .read_era =
          [](const http::Response& response) {
            return ReadNumberHeader(response, kEraHeader);
          }};
}

}  // namespace kingcupstair::store
