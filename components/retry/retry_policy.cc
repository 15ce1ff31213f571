#include "components/retry/retry_policy.h"

namespace kingcupstair::retry {
namespace {

constexpr int kMaxUpstreamsBroken = 2;
constexpr Duration kMinTimeForRetry{std::chrono::milliseconds(20)};
constexpr int kFirstServerError = 500;

class NextStepVisitor {
 public:
  explicit NextStepVisitor(const AttemptResult& result) : result(result) {}

  NextStep operator()(const once::Ran& ran) const {
    const bool failed = ran.response.status >= kFirstServerError;
    return this->RetryIf(failed && this->CanRepeat());
  }

  NextStep operator()(const once::NotRun& refusal) const {
    return this->RetryIf(refusal.reason !=
                         once::RefusalReason::kCrashesUpstreams);
  }

  NextStep operator()(const once::Unknown&) const {
    return this->RetryIf(this->CanRepeat());
  }

 private:
  bool CanRepeat() const {
    return this->result.idempotency == config::Idempotency::kIdempotent &&
           this->result.upstreams_broken < kMaxUpstreamsBroken;
  }

  NextStep RetryIf(bool allowed) const {
    const bool in_time = this->result.remaining_time > kMinTimeForRetry;
    if (allowed && in_time &&
        this->result.attempts < this->result.max_attempts) {
      return RetryElsewhere{};
    }
    return ReturnOutcome{};
  }

  const AttemptResult& result;
};

}  // namespace

NextStep DecideNextStep(const AttemptResult& result) {
  return std::visit(NextStepVisitor(result), result.outcome);
}

once::Outcome CombineOutcomes(const once::Outcome& earlier,
                              const once::Outcome& later) {
  const bool later_ran_not = std::holds_alternative<once::NotRun>(later);
  const bool earlier_ran_not = std::holds_alternative<once::NotRun>(earlier);
  return later_ran_not && !earlier_ran_not ? earlier : later;
}

}  // namespace kingcupstair::retry
