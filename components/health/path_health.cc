#include "components/health/path_health.h"

#include <algorithm>

namespace kingcupstair::health {
namespace {

constexpr Duration kFirstBackoff{std::chrono::milliseconds(500)};
constexpr Duration kMaxBackoff{std::chrono::seconds(4)};
constexpr int kMaxDoublings = 5;

}  // namespace

void PathHealth::OnReached(const std::string& host) {
  this->paths.erase(host);
}

void PathHealth::OnUnreachable(const std::string& host, Instant now) {
  State& state = this->paths[host];
  const int doublings = std::min(state.consecutive_losses, kMaxDoublings);
  state.closed_until =
      now + std::min(kFirstBackoff * (1 << doublings), kMaxBackoff);
  ++state.consecutive_losses;
}

bool PathHealth::IsOpen(const std::string& host, Instant now) const {
  const auto found = this->paths.find(host);
  return found == this->paths.end() || found->second.closed_until <= now;
}

}  // namespace kingcupstair::health
