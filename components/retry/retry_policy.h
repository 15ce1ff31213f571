#ifndef COMPONENTS_RETRY_RETRY_POLICY_H_
#define COMPONENTS_RETRY_RETRY_POLICY_H_

#include <variant>

#include "components/base/time.h"
#include "components/config/rules.h"
#include "components/once/outcome.h"

namespace kingcupstair::retry {

/// Next step: another attempt at another upstream.
struct RetryElsewhere {
  bool operator==(const RetryElsewhere&) const = default;
};

/// Next step: the outcome of the attempt is final and goes to the caller.
struct ReturnOutcome {
  bool operator==(const ReturnOutcome&) const = default;
};

using NextStep = std::variant<RetryElsewhere, ReturnOutcome>;

/// Outcome of an attempt and the remaining limits of its request.
struct AttemptResult {
  once::Outcome outcome;
  config::Idempotency idempotency = config::Idempotency::kNonIdempotent;
  /// Attempts made so far.
  int attempts = 1;
  int max_attempts = 4;
  /// Attempts at which an upstream broke the connection while running this
  /// request.
  int upstreams_broken = 0;
  /// Remaining time until the request's deadline.
  Duration remaining_time{};
};

/// Returns the step that follows an attempt. A non-idempotent request is
/// retried only if the attempt is proved not to have run, and a request that
/// crashes upstreams is not retried at all.
NextStep DecideNextStep(const AttemptResult& result);

/// Returns the outcome of a request whose attempts ended with `earlier` and
/// then `later`. If an attempt may have run, so may the request.
once::Outcome CombineOutcomes(const once::Outcome& earlier,
                              const once::Outcome& later);

}  // namespace kingcupstair::retry

#endif  // COMPONENTS_RETRY_RETRY_POLICY_H_
