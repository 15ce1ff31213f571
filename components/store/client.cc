#include "components/store/client.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "components/base/error.h"
#include "components/http/client.h"

namespace kingcupstair::store {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflictStatus = 409;
constexpr char kVersionHeader[] = "X-Version";
constexpr char kExpectHeader[] = "X-Expect-Version";

std::string TargetOf(const std::string& key) {
  return absl::StrCat("/v1/kv/", key);
}

absl::Status Unexpected(const Endpoint& server, const char* step, int status) {
  return ErrorAt(absl::StatusCode::kUnavailable,
                 {.step = step, .peer = ToText(server)},
                 absl::StrCat("the store answered ", status));
}

}  // namespace

Client::Client(Options options) : options(std::move(options)) {}

absl::StatusOr<Entry> Client::Get(const std::string& key) const {
  return this->Read(TargetOf(key), this->options.timeout);
}

absl::StatusOr<Entry> Client::Watch(const std::string& key,
                                    uint64_t after,
                                    Duration wait) const {
  return this->Read(absl::StrCat(TargetOf(key), "?after=", after,
                                 "&wait_ms=", ToMillisRoundedUp(wait)),
                    wait + this->options.timeout);
}

absl::StatusOr<Entry> Client::Read(const std::string& target,
                                   Duration timeout) const {
  const http::Result result =
      http::Exchange({.server = this->options.server,
                      .request = {.method = "GET", .target = target},
                      .timeout = timeout});
  if (!result.ok()) {
    return result.failure.status;
  }
  if (result.response.status == kNotFound) {
    return Entry{};
  }
  if (result.response.status != kOk) {
    return Unexpected(this->options.server, "read", result.response.status);
  }
  Entry entry{.value = result.response.body};
  const std::string version(
      http::Find(result.response.headers, kVersionHeader));
  if (!absl::SimpleAtoi(version, &entry.version)) {
    return Unexpected(this->options.server, "read version",
                      result.response.status);
  }
  return entry;
}

absl::StatusOr<PutResult> Client::Put(const std::string& key,
                                      const std::string& value,
                                      uint64_t expected) const {
  const http::Result result = http::Exchange(
      {.server = this->options.server,
       .request = {.method = "PUT",
                   .target = TargetOf(key),
                   .headers = {{.name = kExpectHeader,
                                .value = absl::StrCat(expected)}},
                   .body = value},
       .timeout = this->options.timeout,
       .reuse_connection = false});
  if (!result.ok()) {
    return result.failure.status;
  }
  if (result.response.status == kConflictStatus) {
    return PutResult::kConflict;
  }
  if (result.response.status != kOk) {
    return Unexpected(this->options.server, "write", result.response.status);
  }
  return PutResult::kWritten;
}

absl::Status Client::Overwrite(const std::string& key,
                               const std::string& value) const {
  const http::Result result = http::Exchange(
      {.server = this->options.server,
       .request = {.method = "PUT", .target = TargetOf(key), .body = value},
       .timeout = this->options.timeout});
  if (!result.ok()) {
    return result.failure.status;
  }
  if (result.response.status != kOk) {
    return Unexpected(this->options.server, "write", result.response.status);
  }
  return absl::OkStatus();
}

absl::Status Client::Delete(const std::string& key) const {
  const http::Result result =
      http::Exchange({.server = this->options.server,
                      .request = {.method = "DELETE", .target = TargetOf(key)},
                      .timeout = this->options.timeout});
  return result.failure.status;
}

}  // namespace kingcupstair::store
