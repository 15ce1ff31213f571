#include "components/ingress/slot_search.h"

#include <algorithm>

namespace kingcupstair::ingress {

SlotSearch::SlotSearch(Options options) : options(options) {}

SlotStep SlotSearch::Next() const {
  if (!this->exhausted && this->asked_free < this->options.max_asked) {
    return {.kind = SlotStep::Kind::kAskFree,
            .any_zone = this->asked_free >= this->options.max_asked_own_zone};
  }
  if (this->waited) {
    return {};
  }
  if (!this->busy.empty() && this->options.may_wait) {
    const auto least = std::min_element(
        this->busy.begin(), this->busy.end(),
        [](const Busy& left, const Busy& right) {
          return left.load < right.load;
        });
    return {.kind = SlotStep::Kind::kWait, .choice = least->choice};
  }
  // While sound upstreams are merely busy, the unwell ones are left alone.
  if (this->busy.empty() && !this->unwell.empty() &&
      this->options.may_use_unwell) {
    return {.kind = SlotStep::Kind::kLastResort,
            .choice = this->unwell.front()};
  }
  return {};
}

void SlotSearch::OnRefused(const Choice& choice,
                           const rpc::SlotAnswer& answer) {
  this->refusal = answer.refusal;
  const bool again = !this->upstreams.insert(choice.upstream).second;
  if (again) {
    this->waited = true;
    return;
  }
  ++this->asked_free;
  const auto reason = answer.refusal.reason;
  if (reason == once::RefusalReason::kQueueFull ||
      reason == once::RefusalReason::kQueueTimeout) {
    const double load = static_cast<double>(answer.in_flight + answer.queued) /
                        std::max(1, answer.report.limit);
    this->busy.push_back({.choice = choice, .load = load});
  } else if (reason == once::RefusalReason::kLooksUnwell) {
    this->unwell.push_back(choice);
  }
}

}  // namespace kingcupstair::ingress
