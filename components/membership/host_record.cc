#include "components/membership/host_record.h"

#include <algorithm>

namespace kingcupstair::membership {
namespace {

/// A value that grew or shrank by more than this factor is published.
constexpr double kSignificantFactor = 2;
constexpr double kSignificantErrorShareChange = 0.2;
/// Latency changes up to this amount are noise, whatever their factor.
constexpr Duration kMaxLatencyNoise{std::chrono::milliseconds(2)};

bool DiffersByFactor(double before, double after) {
  return std::max(before, after) > std::min(before, after) * kSignificantFactor;
}

bool HasSignificantUpstreamChange(const UpstreamRecord& before,
                                  const UpstreamRecord& after) {
  const Duration latency_change = std::max(before.latency, after.latency) -
                                  std::min(before.latency, after.latency);
  const bool has_latency_changed =
      latency_change > kMaxLatencyNoise &&
      DiffersByFactor(static_cast<double>(before.latency.count()),
                      static_cast<double>(after.latency.count()));
  const double error_change = before.error_share - after.error_share;
  return before.id != after.id || before.service != after.service ||
         before.version != after.version || before.slots != after.slots ||
         DiffersByFactor(before.limit, after.limit) || has_latency_changed ||
         DiffersByFactor(before.named_rate, after.named_rate) ||
         error_change > kSignificantErrorShareChange ||
         -error_change > kSignificantErrorShareChange;
}

// That a departure is forgotten is no news.
bool HasNewDeparture(const HostRecord& before, const HostRecord& after) {
  return !std::includes(before.departures.begin(), before.departures.end(),
                        after.departures.begin(), after.departures.end());
}

}  // namespace

bool HasSignificantChange(const HostRecord& before, const HostRecord& after) {
  const bool has_same_location = before.zone == after.zone &&
                                 before.region == after.region &&
                                 before.admin == after.admin;
  if (!has_same_location || before.leaving != after.leaving ||
      before.pools != after.pools || before.rollbacks != after.rollbacks ||
      HasNewDeparture(before, after) ||
      before.upstreams.size() != after.upstreams.size()) {
    return true;
  }
  for (size_t i = 0; i < before.upstreams.size(); ++i) {
    if (HasSignificantUpstreamChange(before.upstreams[i], after.upstreams[i])) {
      return true;
    }
  }
  return false;
}

bool HasSameUpstreams(const HostRecord& after, const HostRecord& before) {
  const auto same = [](const UpstreamRecord& one, const UpstreamRecord& other) {
    return one.id == other.id && one.service == other.service &&
           one.version == other.version && one.slots == other.slots;
  };
  return after.host == before.host && after.leaving == before.leaving &&
         after.pools == before.pools && after.rollbacks == before.rollbacks &&
         !HasNewDeparture(before, after) &&
         std::equal(after.upstreams.begin(), after.upstreams.end(),
                    before.upstreams.begin(), before.upstreams.end(), same);
}

const char* ToText(Liveness liveness) {
  switch (liveness) {
    case Liveness::kAlive:
      return "alive";
    case Liveness::kSuspect:
      return "suspect";
    case Liveness::kDead:
      return "dead";
  }
  return "alive";
}

}  // namespace kingcupstair::membership
