#include "components/once/outcome.h"

namespace kingcupstair::once {

const char* ToText(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNone:
      return "none";
    case RefusalReason::kWrongIncarnation:
      return "wrong_incarnation";
    case RefusalReason::kFenced:
      return "fenced";
    case RefusalReason::kWithdrawn:
      return "withdrawn";
    case RefusalReason::kDraining:
      return "draining";
    case RefusalReason::kUpstreamGone:
      return "upstream_gone";
    case RefusalReason::kQueueFull:
      return "queue_full";
    case RefusalReason::kQueueTimeout:
      return "queue_timeout";
    case RefusalReason::kConnectFailed:
      return "connect_failed";
    case RefusalReason::kIsolated:
      return "isolated";
    case RefusalReason::kUpstreamUnhealthy:
      return "looks_unwell";
    case RefusalReason::kSlotExpired:
      return "slot_lapsed";
    case RefusalReason::kMisdirected:
      return "misdirected";
    case RefusalReason::kShed:
      return "shed";
    case RefusalReason::kBusierThanOthers:
      return "busier_than_others";
    case RefusalReason::kCrashesUpstreams:
      return "crashes_upstreams";
  }
  return "none";
}

const char* ResultOf(const Outcome& outcome) {
  constexpr const char* kResults[] = {"ran", "not_run", "unknown"};
  return kResults[outcome.index()];
}

}  // namespace kingcupstair::once
