#include "tests/scenario/baseline_policy.h"

namespace kingcupstair::scenario {
namespace {

constexpr int kErrorsInRow = 5;
constexpr Duration kOutTime{std::chrono::seconds(10)};

}  // namespace

void BaselinePolicy::SetUpstreams(std::vector<std::string> ids) {
  this->upstreams = std::move(ids);
}

void BaselinePolicy::OnHealth(const std::string& id, bool healthy) {
  this->states[id].healthy = healthy;
}

bool BaselinePolicy::OnAnswer(const std::string& id, bool failed, Instant now) {
  State& state = this->states[id];
  state.errors_in_row = failed ? state.errors_in_row + 1 : 0;
  if (state.errors_in_row < kErrorsInRow || state.out_until > now) {
    return false;
  }
  state.errors_in_row = 0;
  state.out_until = now + kOutTime;
  return true;
}

bool BaselinePolicy::IsEjected(const std::string& id, Instant now) const {
  const auto found = this->states.find(id);
  return found != this->states.end() &&
         (!found->second.healthy || found->second.out_until > now);
}

std::optional<std::string> BaselinePolicy::Choose(
    const std::set<std::string>& tried,
    Instant now) {
  std::vector<std::string> usable;
  for (const std::string& id : this->upstreams) {
    if (!tried.contains(id) && !this->IsEjected(id, now)) {
      usable.push_back(id);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<size_t> index(0, usable.size() - 1);
  return usable[index(this->random)];
}

}  // namespace kingcupstair::scenario
