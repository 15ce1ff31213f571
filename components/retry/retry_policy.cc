#include "components/retry/retry_policy.h"

namespace kingcupstair::retry {
namespace {

constexpr int kMaxUpstreamsBroken = 2;
constexpr Duration kLeastTimeForRetry{std::chrono::milliseconds(20)};
constexpr int kFirstServerError = 500;

class Decider {
 public:
  explicit Decider(const AttemptResult& result) : result(result) {}

  NextStep operator()(const once::Ran& ran) const {
    const bool failed = ran.response.status >= kFirstServerError;
    return this->If(failed && this->MayRepeat());
  }

  NextStep operator()(const once::NotRun&) const { return this->If(true); }

  NextStep operator()(const once::Unknown&) const {
    return this->If(this->MayRepeat());
  }

 private:
  bool MayRepeat() const {
    return this->result.repeat == config::Repeat::kIdempotent &&
           this->result.upstreams_broken < kMaxUpstreamsBroken;
  }

  NextStep If(bool allowed) const {
    const bool in_time = this->result.time_left > kLeastTimeForRetry;
    if (allowed && in_time &&
        this->result.attempts < this->result.max_attempts) {
      return TryAgain{};
    }
    return GiveAnswer{};
  }

  const AttemptResult& result;
};

}  // namespace

NextStep DecideNextStep(const AttemptResult& result) {
  return std::visit(Decider(result), result.outcome);
}

}  // namespace kingcupstair::retry
