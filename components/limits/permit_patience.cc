#include "components/limits/permit_patience.h"

#include <algorithm>

namespace kingcupstair::limits {
namespace {

/// An organisation inside its rate may find its bucket empty for a moment after
/// a burst; waiting that out costs less than coming back.
constexpr int kAsksInsideRate = 2;
constexpr Duration kLongestPause{std::chrono::milliseconds(120)};
/// Below this part of all shares a pool says little about who is inside its
/// rate: it has just taken over. Hosts that are gone for good are fewer.
constexpr double kTellingFraction = 0.6;
/// Longest wait for a pool that takes over: its predecessor's loans, which last
/// half a second in a region of some dozen hosts, and the time to find out.
constexpr Duration kLongestWait{std::chrono::milliseconds(1500)};
constexpr int kTimeDivisor = 2;
constexpr Duration kTakeoverPause{std::chrono::milliseconds(80)};
/// Requests of one organisation that wait at one host: a caller far above its
/// rate would else keep all hosts asking.
constexpr int kMostWaiting = 4;

}  // namespace

std::optional<Duration> PermitPatience::NextAsk(const std::string& organisation,
                                                const PermitGrant& grant,
                                                Wait& wait,
                                                Instant now) {
  // The bucket of a new pool starts empty, so what has waited for the pool goes
  // on waiting while it fills.
  wait.for_pool =
      wait.for_pool || grant.pools_nothing || grant.fraction < kTellingFraction;
  const auto pause = wait.for_pool
                         ? this->UntilTakenOver(organisation, wait, now)
                         : UntilRefilled(grant, wait);
  if (pause.has_value() && !wait.waits) {
    ++this->waiting[organisation];
    wait.waits = true;
  }
  return pause;
}

std::optional<Duration> PermitPatience::UntilRefilled(const PermitGrant& grant,
                                                      const Wait& wait) {
  if (wait.asks < kAsksInsideRate && grant.retry_after <= kLongestPause) {
    return grant.retry_after;
  }
  return std::nullopt;
}

std::optional<Duration> PermitPatience::UntilTakenOver(
    const std::string& organisation,
    const Wait& wait,
    Instant now) const {
  const auto others = this->waiting.find(organisation);
  const bool crowded =
      others != this->waiting.end() && others->second >= kMostWaiting;
  const Duration pause = kTakeoverPause * wait.asks;
  const Instant latest =
      std::min(wait.arrived + kLongestWait,
               wait.arrived + (wait.deadline - wait.arrived) / kTimeDivisor);
  if (now + pause >= latest || (crowded && !wait.waits)) {
    return std::nullopt;
  }
  return pause;
}

void PermitPatience::End(const std::string& organisation) {
  const auto found = this->waiting.find(organisation);
  if (found != this->waiting.end() && --found->second <= 0) {
    this->waiting.erase(found);
  }
}

}  // namespace kingcupstair::limits
