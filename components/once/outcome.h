#ifndef COMPONENTS_ONCE_OUTCOME_H_
#define COMPONENTS_ONCE_OUTCOME_H_

#include <string>
#include <variant>

#include "components/base/time.h"
#include "components/http/message.h"

namespace kingcupstair::once {

/// Why a request was refused before any upstream saw it.
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
  kLooksUnwell,
  kSlotLapsed,
  kMisdirected,
  kShed,
  kBusierThanOthers,
};

/// The reason in the form used in answers, logs and counters.
const char* ToText(RefusalReason reason);

/// The upstream ran the request and this is its whole answer.
struct Ran {
  http::Response response;

  bool operator==(const Ran&) const = default;
};

/// No upstream saw the request, and none will.
struct NotRun {
  RefusalReason reason = RefusalReason::kNone;
  /// When trying again makes sense; zero when at once and elsewhere.
  Duration retry_after{};

  bool operator==(const NotRun&) const = default;
};

/// The request was sent to an upstream and no whole answer came.
struct Unknown {
  std::string detail;
  /// The upstream closed the connection while it ran the request.
  bool upstream_broke = false;
  /// It was given up because nobody waited for it any more.
  bool cancelled = false;

  bool operator==(const Unknown&) const = default;
};

/// What became of one attempt to run a request.
using Outcome = std::variant<Ran, NotRun, Unknown>;

/// "ran", "not_run" or "unknown", for counters and logs.
const char* ResultOf(const Outcome& outcome);

}  // namespace kingcupstair::once

#endif  // COMPONENTS_ONCE_OUTCOME_H_
