#include "components/ingress/slot_search.h"

#include <algorithm>

namespace kingcupstair::ingress {

namespace {

/// An upstream that is less likely than this to be in a fault episode, where it
/// fails most requests, serves more requests than it fails.
constexpr double kDoubtfulProbability = 0.5;

/// Returns the requests in flight and queued, relative to the concurrency
/// limit. An upstream that has named a limit on new requests may have none in
/// flight and no room all the same; its queue moves at that rate.
double LoadOf(const rpc::SlotAnswer& answer) {
  const double load = static_cast<double>(answer.in_flight + answer.queued) /
                      std::max(1, answer.report.limit);
  return answer.report.named_rate > 0
             ? std::max(load, (answer.queued + 1) / answer.report.named_rate)
             : load;
}

/// Returns whether an upstream that refuses for `reason` takes no request any
/// more, however long it is waited for.
bool IsOutOfUse(once::RefusalReason reason) {
  switch (reason) {
    case once::RefusalReason::kWrongIncarnation:
    case once::RefusalReason::kWithdrawn:
    case once::RefusalReason::kDraining:
    case once::RefusalReason::kUpstreamGone:
    case once::RefusalReason::kConnectFailed:
    case once::RefusalReason::kIsolated:
      return true;
    default:
      return false;
  }
}

}  // namespace

SlotSearch::SlotSearch(Options options) : options(options) {}

ChosenUpstream SlotSearch::LeastLoaded(const std::vector<LoadedUpstream>& all) {
  return std::min_element(
             all.begin(), all.end(),
             [](const LoadedUpstream& left, const LoadedUpstream& right) {
               return left.load < right.load;
             })
      ->choice;
}

const SlotSearch::UnhealthyUpstream& SlotSearch::LeastUnhealthy() const {
  return *std::min_element(
      this->unhealthy.begin(), this->unhealthy.end(),
      [](const UnhealthyUpstream& left, const UnhealthyUpstream& right) {
        return left.failure_probability < right.failure_probability;
      });
}

SlotStep SlotSearch::Next() const {
  const bool any_zone = this->tried_count >= this->options.max_tried_own_zone;
  if (!this->no_candidates_left &&
      this->tried_count < this->options.max_tried_idle) {
    return {.kind = SlotStep::Kind::kTryIdle, .any_zone = any_zone};
  }
  if (!this->busier_than_usual.empty()) {
    return {.kind = SlotStep::Kind::kTryLeastLoaded,
            .choice = LeastLoaded(this->busier_than_usual)};
  }
  if (!this->no_candidates_left &&
      this->tried_count < this->options.max_tried &&
      std::ssize(this->without_free_slot) <
          this->options.max_without_free_slot) {
    return {.kind = SlotStep::Kind::kTryFree, .any_zone = any_zone};
  }
  if (this->final_step_refused) {
    return {};
  }
  if (!this->without_free_slot.empty() && !this->unhealthy.empty() &&
      !this->doubtful_step_refused && this->options.may_use_unhealthy &&
      this->LeastUnhealthy().failure_probability < kDoubtfulProbability) {
    return {.kind = SlotStep::Kind::kTryDoubtful,
            .choice = this->LeastUnhealthy().choice};
  }
  if (!this->without_free_slot.empty()) {
    return this->options.may_wait
               ? SlotStep{.kind = SlotStep::Kind::kQueue,
                          .choice = LeastLoaded(this->without_free_slot)}
               : SlotStep{};
  }
  // While healthy upstreams are merely busy, unhealthy ones are not used.
  if (!this->unhealthy.empty() && this->options.may_use_unhealthy) {
    return {.kind = SlotStep::Kind::kLastResort,
            .choice = this->LeastUnhealthy().choice};
  }
  return {};
}

// An upstream that leaves while a request waits in its queue must not end the
// search for one elsewhere.
void SlotSearch::Forget(const ChosenUpstream& choice) {
  const auto is_choice = [&](const auto& each) {
    return each.choice == choice;
  };
  std::erase_if(this->busier_than_usual, is_choice);
  std::erase_if(this->without_free_slot, is_choice);
  std::erase_if(this->unhealthy, is_choice);
}

void SlotSearch::OnRefused(const SlotStep& step,
                           const ChosenUpstream& choice,
                           const rpc::SlotAnswer& answer) {
  this->refusal = answer.refusal;
  if (IsOutOfUse(answer.refusal.reason)) {
    this->Forget(choice);
    if (this->tried.insert(choice.upstream).second) {
      ++this->tried_count;
    }
    return;
  }
  if (step.kind == SlotStep::Kind::kQueue ||
      step.kind == SlotStep::Kind::kLastResort) {
    this->final_step_refused = true;
    return;
  }
  if (step.kind == SlotStep::Kind::kTryDoubtful) {
    this->doubtful_step_refused = true;
    return;
  }
  if (step.kind == SlotStep::Kind::kTryLeastLoaded) {
    std::erase_if(this->busier_than_usual, [&](const LoadedUpstream& each) {
      return each.choice == choice;
    });
  } else {
    this->tried.insert(choice.upstream);
    ++this->tried_count;
  }
  const double load = this->options.by_remaining_work &&
                              answer.report.remaining_work > Duration{}
                          ? ToSeconds(answer.report.remaining_work)
                          : LoadOf(answer);
  switch (answer.refusal.reason) {
    case once::RefusalReason::kBusierThanOthers:
      this->busier_than_usual.push_back({.choice = choice, .load = load});
      break;
    case once::RefusalReason::kQueueFull:
    case once::RefusalReason::kQueueTimeout:
      this->without_free_slot.push_back({.choice = choice, .load = load});
      break;
    case once::RefusalReason::kUpstreamUnhealthy:
      this->unhealthy.push_back(
          {.choice = choice,
           .failure_probability = answer.report.failure_probability});
      break;
    default:
      break;
  }
}

}  // namespace kingcupstair::ingress
