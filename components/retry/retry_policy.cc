#include "components/retry/retry_policy.h"

namespace kingcupstair::retry {
namespace {

constexpr int kMaxAttempts = 4;
constexpr int kMaxUpstreamsBroken = 2;
constexpr Duration kLeastTimeForRetry{std::chrono::milliseconds(20)};
constexpr int kServiceUnavailable = 503;

class Decider {
 public:
  explicit Decider(const AttemptResult& result) : result(result) {}

  NextStep operator()(const once::Ran& ran) const {
    const bool shed = ran.response.status == kServiceUnavailable;
    return this->If(shed && this->MayRepeat());
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
    if (allowed && this->result.attempts<kMaxAttempts&& this->result.time_left>
                       kLeastTimeForRetry) {
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
