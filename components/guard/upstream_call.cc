#include "components/guard/upstream_call.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "components/base/error.h"
#include "components/fibers/worker_pool.h"
#include "components/http/client.h"
#include "components/logging/log.h"

namespace kingcupstair::guard {
namespace {

constexpr int kConnectChecks = 2;
constexpr Duration kConnectCheckTimeout{std::chrono::milliseconds(100)};
constexpr Duration kConnectCheckInterval{std::chrono::milliseconds(20)};
constexpr char kHealthTarget[] = "/health";
constexpr Duration kMaxIdle{std::chrono::seconds(4)};
/// Far below the idle timeout of any known server.
constexpr Duration kMaxIdleNonIdempotent{std::chrono::seconds(1)};
constexpr int kMisdirected = 421;

void AddHeader(http::Headers& headers,
               const std::string& name,
               const std::string& value) {
  if (!name.empty() && !value.empty()) {
    headers.push_back({.name = name, .value = value});
  }
}

// The upstream may be closing a kept connection just when the connection is
// reused, and then it is unknown whether the request ran. Non-idempotent
// requests therefore use only connections that were in use a moment ago.
http::Call BuildCall(const UpstreamTarget& target,
                     const once::RunRequest& request,
                     Duration remaining,
                     const RunningCall& running) {
  const HeaderNames& header_names = *target.header_names;
  http::Call call{
      .server = target.endpoint,
      .request = request.request,
      .timeout = std::max(remaining, Duration(1)),
      .max_idle_time = request.idempotent ? kMaxIdle : kMaxIdleNonIdempotent,
      .cancellation = running.cancellation,
      .cancellation_before_sending = running.cancellation_before_sending};
  http::Headers& headers = call.request.headers;
  if (http::FindHeader(headers, header_names.request_id).empty()) {
    AddHeader(headers, header_names.request_id, request.request_id);
  }
  call.expected_echo = http::Header{
      .name = header_names.request_id,
      .value = std::string(http::FindHeader(headers, header_names.request_id))};
  if (request.organisation != once::kNoOrganisation) {
    AddHeader(headers, header_names.organisation, request.organisation);
  }
  AddHeader(headers, header_names.deadline,
            absl::StrCat(ToMillisRoundedUp(remaining)));
  AddHeader(headers, header_names.expected_upstream, request.upstream);
  AddHeader(headers, header_names.caller_service, request.caller_service);
  return call;
}

bool HasHeader(const http::Response& response, const std::string& name) {
  return !name.empty() && !http::FindHeader(response.headers, name).empty();
}

// A response of another upstream at the endpoint says nothing about the one
// that was meant.
std::optional<UpstreamNotice> NoticeOf(const UpstreamTarget& target,
                                       const once::RunRequest& request,
                                       const http::Response& response) {
  if (response.status == kMisdirected &&
      !target.header_names->expected_upstream.empty()) {
    return std::nullopt;
  }
  const auto notice =
      ReadUpstreamNotice(*target.header_names, response.headers);
  if (!notice.ok()) {
    logging::Write(logging::Level::kWarning,
                   "a response names an invalid limit",
                   {{.name = "upstream", .value = request.upstream},
                    {.name = "peer", .value = ToText(target.endpoint)},
                    {.name = "reason", .value = MessageOf(notice.status())}});
    return std::nullopt;
  }
  return *notice;
}

once::Outcome OutcomeOf(const HeaderNames& header_names,
                        http::Response response) {
  if (HasHeader(response, header_names.not_run)) {
    return once::NotRun{.reason = once::RefusalReason::kShed};
  }
  if (response.status == kMisdirected &&
      !header_names.expected_upstream.empty()) {
    return once::NotRun{.reason = once::RefusalReason::kMisdirected};
  }
  if (HasHeader(response, "Content-Encoding")) {
    return once::Unknown{.detail =
                             "the answer came in an encoding that "
                             "nobody asked for"};
  }
  return once::Ran{.response = std::move(response)};
}

}  // namespace

UpstreamReply CallUpstream(const UpstreamTarget& target,
                           const once::RunRequest& request,
                           Instant deadline,
                           const RunningCall& call) {
  http::Result result = http::Exchange(
      BuildCall(target, request, deadline - MonotonicNow(), call));
  if (result.ok()) {
    const auto notice = NoticeOf(target, request, result.response);
    return {
        .outcome = OutcomeOf(*target.header_names, std::move(result.response)),
        .notice = notice};
  }
  if (result.failure.stage == http::Stage::kConnect) {
    return {.outcome = once::NotRun{
                .reason = result.failure.cancelled
                              ? once::RefusalReason::kFenced
                              : once::RefusalReason::kConnectFailed}};
  }
  const auto message = result.failure.status.message();
  return {.outcome = once::Unknown{
              .detail = std::string(message.data(), message.size()),
              .upstream_broke = !result.failure.timed_out &&
                                !result.failure.cancelled &&
                                !absl::IsInvalidArgument(result.failure.status),
              .cancelled = result.failure.cancelled}};
}

// Checks repeatedly, since a process that ends may close its port a moment
// after its connections.
bool AcceptsConnections(const Endpoint& endpoint) {
  for (int i = 0; i < kConnectChecks; ++i) {
    const http::Result result =
        http::Exchange({.server = endpoint,
                        .request = {.method = "GET", .target = kHealthTarget},
                        .timeout = kConnectCheckTimeout,
                        .reuse_connection = false,
                        .keep_connection = false});
    if (!result.ok() && result.failure.stage == http::Stage::kConnect) {
      return false;
    }
    fibers::SleepFor(kConnectCheckInterval);
  }
  return true;
}

bool BrokeConnection(const once::Outcome& outcome) {
  const auto* unknown = std::get_if<once::Unknown>(&outcome);
  return unknown != nullptr && unknown->upstream_broke;
}

}  // namespace kingcupstair::guard
