#include "components/ingress/slot_search.h"

#include <algorithm>

namespace kingcupstair::ingress {

SlotSearch::SlotSearch(Options options) : options(options) {}

Choice SlotSearch::LeastOf(const std::vector<Busy>& all) {
  return std::min_element(all.begin(), all.end(),
                          [](const Busy& left, const Busy& right) {
                            return left.load < right.load;
                          })
      ->choice;
}

SlotStep SlotSearch::Next() const {
  const bool any_zone = this->asked >= this->options.max_asked_own_zone;
  if (!this->exhausted && this->asked < this->options.max_asked_idle) {
    return {.kind = SlotStep::Kind::kAskIdle, .any_zone = any_zone};
  }
  if (!this->busier.empty()) {
    return {.kind = SlotStep::Kind::kTakeLeast,
            .choice = LeastOf(this->busier)};
  }
  if (!this->exhausted && this->asked < this->options.max_asked) {
    return {.kind = SlotStep::Kind::kAskFree, .any_zone = any_zone};
  }
  if (this->ended) {
    return {};
  }
  if (!this->busy.empty()) {
    return this->options.may_wait ? SlotStep{.kind = SlotStep::Kind::kWait,
                                             .choice = LeastOf(this->busy)}
                                  : SlotStep{};
  }
  // While sound upstreams are merely busy, the unwell ones are left alone.
  if (!this->unwell.empty() && this->options.may_use_unwell) {
    return {.kind = SlotStep::Kind::kLastResort,
            .choice = this->unwell.front()};
  }
  return {};
}

void SlotSearch::OnRefused(const SlotStep& step,
                           const Choice& choice,
                           const rpc::SlotAnswer& answer) {
  this->refusal = answer.refusal;
  if (step.kind == SlotStep::Kind::kWait ||
      step.kind == SlotStep::Kind::kLastResort) {
    this->ended = true;
    return;
  }
  if (step.kind == SlotStep::Kind::kTakeLeast) {
    std::erase_if(this->busier,
                  [&](const Busy& each) { return each.choice == choice; });
  } else {
    this->upstreams.insert(choice.upstream);
    ++this->asked;
  }
  const double load = static_cast<double>(answer.in_flight + answer.queued) /
                      std::max(1, answer.report.limit);
  switch (answer.refusal.reason) {
    case once::RefusalReason::kBusierThanOthers:
      this->busier.push_back({.choice = choice, .load = load});
      break;
    case once::RefusalReason::kQueueFull:
    case once::RefusalReason::kQueueTimeout:
      this->busy.push_back({.choice = choice, .load = load});
      break;
    case once::RefusalReason::kLooksUnwell:
      this->unwell.push_back(choice);
      break;
    default:
      break;
  }
}

}  // namespace kingcupstair::ingress
