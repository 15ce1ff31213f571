#include "components/control/rollout_loop.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "components/fibers/worker_pool.h"

namespace kingcupstair::control {
namespace {

constexpr Duration kStepInterval{std::chrono::milliseconds(100)};
constexpr Duration kRetryInterval{std::chrono::milliseconds(500)};

using State = site::RolloutStatus::State;

}  // namespace

RolloutLoop::RolloutLoop(Fleet& fleet,
                         site::RolloutStatusFormat format,
                         Rollouts rollouts)
    : fleet(fleet), format(std::move(format)), rollouts(std::move(rollouts)) {}

void RolloutLoop::Step() {
  const std::vector<health::RolloutState> states = this->rollouts.tick();
  std::erase_if(this->progress, [&](const auto& entry) {
    return std::none_of(states.begin(), states.end(), [&](const auto& state) {
      return state.service == entry.first &&
             state.version == entry.second.version;
    });
  });
  for (const health::RolloutState& state : states) {
    this->Follow(state);
  }
  fibers::SleepFor(kStepInterval);
}

void RolloutLoop::Follow(const health::RolloutState& state) {
  Progress& known = this->progress[state.service];
  known.version = state.version;
  const bool is_rolled_back = state.rollback != health::RollbackReason::kNone;
  const bool is_own_verdict =
      state.rollback == health::RollbackReason::kFailures ||
      state.rollback == health::RollbackReason::kSlow;
  if (is_rolled_back && !known.has_recorded_rollback) {
    known.has_recorded_rollback = true;
    this->fleet.recorder.Record(
        {.kind = "version_rolled_back",
         .detail = absl::StrCat(state.service, " ", state.version, ": ",
                                health::ToText(state.rollback))});
  }
  const State wanted = is_rolled_back ? State::kRolledBack : State::kActive;
  const bool is_final =
      known.stored.has_value() && *known.stored != State::kActive;
  if ((!state.is_canary && !is_own_verdict) || is_final ||
      known.stored == wanted || this->format.key_prefix.empty() ||
      MonotonicNow() < known.retry_at) {
    return;
  }
  known.stored =
      this->Store(state.service, {.state = wanted, .version = state.version});
  if (!known.stored.has_value()) {
    known.retry_at = MonotonicNow() + kRetryInterval;
    return;
  }
  this->rollouts.on_stored_status(state.service, state.version,
                                  *known.stored == State::kRolledBack);
}

std::optional<State> RolloutLoop::Store(
    const std::string& service,
    const site::RolloutStatus& wanted) const {
  const std::string key = absl::StrCat(this->format.key_prefix, service);
  const auto entry = this->fleet.store.Get(key);
  if (!entry.ok()) {
    return std::nullopt;
  }
  const auto present =
      entry->version == 0 ? std::nullopt : this->format.decode(entry->value);
  if (present.has_value() && present->version == wanted.version &&
      (present->state != State::kActive || wanted.state == State::kActive)) {
    return present->state;
  }
  const auto put =
      this->fleet.store.Put(key, this->format.encode(wanted), entry->version);
  if (!put.ok() || *put != store::PutResult::kWritten) {
    return std::nullopt;
  }
  return wanted.state;
}

}  // namespace kingcupstair::control
