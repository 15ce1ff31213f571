#include "components/guard/upstream_call.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "components/fibers/worker_pool.h"
#include "components/http/client.h"

namespace kingcupstair::guard {
namespace {

constexpr int kListenChecks = 2;
constexpr Duration kListenTimeout{std::chrono::milliseconds(100)};
constexpr Duration kListenPause{std::chrono::milliseconds(20)};
constexpr char kHealthTarget[] = "/health";

}  // namespace

// A request that may not be repeated gets a connection of its own: on a kept
// one the upstream may just be closing, and then nobody knows whether it ran.
once::Outcome CallUpstream(const Endpoint& endpoint,
                           const once::RunRequest& request,
                           Instant deadline) {
  const Duration left = deadline - MonotonicNow();
  http::Call call{.server = endpoint,
                  .request = request.request,
                  .timeout = std::max(left, Duration(1)),
                  .reuse_connection = request.idempotent};
  call.request.headers.push_back(
      {.name = "Kingcupstair-Request-Id", .value = request.request_id});
  call.request.headers.push_back(
      {.name = "Kingcupstair-Organisation", .value = request.organisation});
  call.request.headers.push_back(
      {.name = "Kingcupstair-Deadline-Ms",
       .value = absl::StrCat(ToMillisRoundedUp(left))});
  const http::Result result = http::Exchange(call);
  if (result.ok()) {
    return once::Ran{.response = result.response};
  }
  if (result.failure.stage == http::Stage::kConnect) {
    return once::NotRun{.reason = once::RefusalReason::kConnectFailed};
  }
  const auto message = result.failure.status.message();
  return once::Unknown{.detail = std::string(message.data(), message.size()),
                       .upstream_broke = !result.failure.timed_out};
}

// A process that is ending may close its port a moment after its connections.
bool Listens(const Endpoint& endpoint) {
  for (int i = 0; i < kListenChecks; ++i) {
    const http::Result result =
        http::Exchange({.server = endpoint,
                        .request = {.method = "GET", .target = kHealthTarget},
                        .timeout = kListenTimeout,
                        .reuse_connection = false});
    if (!result.ok() && result.failure.stage == http::Stage::kConnect) {
      return false;
    }
    fibers::SleepFor(kListenPause);
  }
  return true;
}

bool BrokeConnection(const once::Outcome& outcome) {
  const auto* unknown = std::get_if<once::Unknown>(&outcome);
  return unknown != nullptr && unknown->upstream_broke;
}

}  // namespace kingcupstair::guard
