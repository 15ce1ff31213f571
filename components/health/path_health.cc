#include "components/health/path_health.h"

#include <algorithm>

namespace kingcupstair::health {
namespace {

constexpr Duration kFirstRest{std::chrono::milliseconds(500)};
constexpr Duration kLongestRest{std::chrono::seconds(4)};
constexpr int kMaxDoublings = 5;

}  // namespace

void PathHealth::OnReached(const std::string& host) {
  this->paths.erase(host);
}

void PathHealth::OnLost(const std::string& host, Instant now) {
  State& state = this->paths[host];
  const int doublings = std::min(state.losses, kMaxDoublings);
  state.closed_until =
      now + std::min(kFirstRest * (1 << doublings), kLongestRest);
  ++state.losses;
}

bool PathHealth::IsOpen(const std::string& host, Instant now) const {
  const auto found = this->paths.find(host);
  return found == this->paths.end() || found->second.closed_until <= now;
}

}  // namespace kingcupstair::health
