#ifndef COMPONENTS_ONCE_OUTCOME_H_
#define COMPONENTS_ONCE_OUTCOME_H_

#include <string>
#include <variant>

#include "components/base/time.h"
#include "components/http/message.h"

namespace kingcupstair::once {

/// Why a request was refused before any upstream received it.
enum class RefusalReason {
  kNone,
  kWrongIncarnation,
  kFenced,
  kWithdrawn,
  kDraining,
  kUpstreamGone,
  kQueueFull,
  kQueueTimeout,
  kConnectFailed,
  kIsolated,
  kUpstreamUnhealthy,
  kSlotExpired,
  kMisdirected,
  kShed,
  kBusierThanOthers,
  kCrashesUpstreams,
};

/// Returns the text of `reason` as used in responses, logs and counters.
const char* ToText(RefusalReason reason);

/// The upstream ran the request and this is its complete response.
struct Ran {
  http::Response response;

  bool operator==(const Ran&) const = default;
};

/// No upstream received the request, and none will receive it.
struct NotRun {
  RefusalReason reason = RefusalReason::kNone;
  /// Delay after which a retry is useful. Zero means a retry at once at another
  /// upstream.
  Duration retry_after{};

  bool operator==(const NotRun&) const = default;
};

/// The request was sent to an upstream and no complete response came, so that
/// the upstream may or may not have run the request.
struct Unknown {
  /// Reason for the unknown outcome, in plain text.
  std::string detail;
  /// The upstream closed the connection while the request was running.
  bool upstream_broke = false;
  /// The attempt was cancelled because its outcome was no longer needed.
  bool cancelled = false;

  bool operator==(const Unknown&) const = default;
};

/// Detail of an unknown outcome after an exception in this process.
inline constexpr char kInternalError[] = "the host failed inside";

/// Outcome of one attempt to run a request.
using Outcome = std::variant<Ran, NotRun, Unknown>;

/// Returns "ran", "not_run" or "unknown", for counters and logs.
const char* ResultOf(const Outcome& outcome);

}  // namespace kingcupstair::once

#endif  // COMPONENTS_ONCE_OUTCOME_H_
