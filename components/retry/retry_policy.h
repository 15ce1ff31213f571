#ifndef COMPONENTS_RETRY_RETRY_POLICY_H_
#define COMPONENTS_RETRY_RETRY_POLICY_H_

#include <variant>

#include "components/base/time.h"
#include "components/config/rules.h"
#include "components/once/outcome.h"

namespace kingcupstair::retry {

/// Try again elsewhere.
struct TryAgain {
  bool operator==(const TryAgain&) const = default;
};

/// This is the final answer for the caller.
struct GiveAnswer {
  bool operator==(const GiveAnswer&) const = default;
};

using NextStep = std::variant<TryAgain, GiveAnswer>;

/// What an attempt came to and what is left for the request.
struct AttemptResult {
  once::Outcome outcome;
  config::Repeat repeat = config::Repeat::kOnce;
  int attempts = 1;
  int max_attempts = 4;
  /// Attempts at which an upstream broke while running this request.
  int upstreams_broken = 0;
  Duration time_left{};
};

/// Decides what follows an attempt. A request that may not be repeated is
/// tried again only when the attempt is proved not to have run.
NextStep DecideNextStep(const AttemptResult& result);

}  // namespace kingcupstair::retry

#endif  // COMPONENTS_RETRY_RETRY_POLICY_H_
