#include "components/health/ejection_planner.h"

#include <algorithm>
#include <cmath>

namespace kingcupstair::health {
namespace {

/// An upstream is an outlier if its error share exceeds the service's median by
/// more than this.
constexpr double kErrorShareLimit = 0.4;
/// Error share limit of an upstream that is already suspected. The lower limit
/// adds hysteresis.
constexpr double kErrorShareLimitSuspected = 0.2;
/// An upstream is slow if its latency exceeds this multiple of the service's
/// median and the difference exceeds kMinLatencyExcess.
constexpr double kSlowMultiple = 3;
/// Multiple for an upstream that is already suspected.
constexpr double kSlowMultipleSuspected = 2;
/// Smaller differences of latency are noise.
constexpr Duration kMinLatencyExcess{std::chrono::milliseconds(10)};
constexpr uint64_t kMinFinished = 3;
constexpr Duration kFirstEjection{std::chrono::seconds(2)};
constexpr Duration kMaxEjection{std::chrono::seconds(60)};
/// An upstream that was not ejected for this time starts again at the shortest
/// ejection.
constexpr Duration kBackoffResetTime{std::chrono::minutes(5)};
constexpr uint64_t kMinTrialResponses = 3;
constexpr Duration kSuspicionPeriodFew{std::chrono::milliseconds(300)};
constexpr Duration kSuspicionPeriodSeveral{std::chrono::milliseconds(1500)};
constexpr uint64_t kMinConfirmingResponses = 2;
constexpr Duration kMinLatencyGrowth{std::chrono::milliseconds(200)};
/// Outliers are few if there is only one, or if they are at most the upstreams
/// of the service divided by this number.
constexpr size_t kFewOutliersDivisor = 12;

Duration MedianLatency(const std::vector<UpstreamView>& upstreams) {
  std::vector<Duration> latencies;
  for (const UpstreamView& view : upstreams) {
    if (view.finished > 0) {
      latencies.push_back(view.latency);
    }
  }
  if (latencies.empty()) {
    return {};
  }
  const auto middle = latencies.begin() +
                      static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return *middle;
}

double MedianErrorShare(const std::vector<UpstreamView>& upstreams) {
  std::vector<double> shares;
  for (const UpstreamView& view : upstreams) {
    shares.push_back(view.error_share);
  }
  const auto middle =
      shares.begin() + static_cast<std::ptrdiff_t>((shares.size() - 1) / 2);
  std::nth_element(shares.begin(), middle, shares.end());
  return *middle;
}

bool IsSlow(const UpstreamView& view,
            Duration median,
            double multiple = kSlowMultiple) {
  const auto limit = static_cast<double>(median.count()) * multiple;
  return static_cast<double>(view.latency.count()) > limit &&
         view.latency > median + kMinLatencyExcess;
}

}  // namespace

const char* ToText(Fault fault) {
  switch (fault) {
    case Fault::kNone:
      return "none";
    case Fault::kErrors:
      return "errors";
    case Fault::kSlow:
      return "slow";
  }
  return "none";
}

EjectionPlanner::EjectionPlanner(Options options) : options(options) {}

std::vector<EjectionChange> EjectionPlanner::Plan(
    const std::vector<UpstreamView>& upstreams,
    Instant now) {
  std::vector<EjectionChange> changes;
  this->RemoveAbsent(upstreams);
  if (upstreams.empty()) {
    return changes;
  }
  this->ReinstateRecovered(upstreams, now, changes);
  const auto min_in_use = static_cast<size_t>(
      std::ceil(this->options.floor * static_cast<double>(upstreams.size())));
  const size_t allowed =
      upstreams.size() - std::clamp<size_t>(min_in_use, 1, upstreams.size());
  // If an availability zone or an upstream left service, the remaining
  // upstreams in use may be fewer than the floor requires.
  while (this->ejected.size() > allowed) {
    const auto first = std::min_element(
        this->ejected.begin(), this->ejected.end(),
        [](const auto& left, const auto& right) {
          return left.second.trial_from < right.second.trial_from;
        });
    changes.push_back({.upstream = first->first, .ejected = false});
    this->ejected.erase(first);
  }
  this->EjectWorst(this->SelectConfirmed(this->FindOutliers(upstreams),
                                         upstreams.size(), now),
                   allowed, now, changes);
  return changes;
}

bool EjectionPlanner::IsEjected(const std::string& upstream) const {
  return this->ejected.contains(upstream);
}

bool EjectionPlanner::IsOnTrial(const std::string& upstream,
                                Instant now) const {
  const auto found = this->ejected.find(upstream);
  return found != this->ejected.end() && found->second.trial_from <= now;
}

// Each upstream is compared with the median of all upstreams, itself included.
// If the whole service is slow or failing, no upstream is an outlier and none
// is ejected.
std::vector<EjectionPlanner::Outlier> EjectionPlanner::FindOutliers(
    const std::vector<UpstreamView>& upstreams) const {
  const Duration median = MedianLatency(upstreams);
  const double median_error_share = MedianErrorShare(upstreams);
  std::vector<Outlier> outliers;
  for (const UpstreamView& view : upstreams) {
    if (this->IsEjected(view.id)) {
      continue;
    }
    const bool suspected = this->suspicions.contains(view.id);
    const double error_limit =
        suspected ? kErrorShareLimitSuspected : kErrorShareLimit;
    const double slow_limit =
        suspected ? kSlowMultipleSuspected : kSlowMultiple;
    if (view.error_share > error_limit + median_error_share &&
        view.finished >= kMinFinished) {
      outliers.push_back({.view = &view,
                          .fault = Fault::kErrors,
                          .severity = 1e12 * view.error_share});
      continue;
    }
    const bool has_evidence =
        view.finished >= kMinFinished || view.in_flight > 0;
    if (has_evidence && median > Duration{} &&
        IsSlow(view, median, slow_limit)) {
      outliers.push_back(
          {.view = &view,
           .fault = Fault::kSlow,
           .severity = static_cast<double>(view.latency.count())});
    }
  }
  return outliers;
}

// Load reports of the other upstreams are older than the report that makes an
// upstream an outlier. If a whole service turns slow, its upstreams therefore
// become outliers one after the other. A few outliers are ejected after a short
// suspicion period. Several outliers need a period long enough for the load
// reports of all upstreams to arrive.
std::vector<EjectionPlanner::Outlier> EjectionPlanner::SelectConfirmed(
    std::vector<Outlier> outliers,
    size_t upstream_count,
    Instant now) {
  std::map<std::string, Suspicion> current;
  for (const Outlier& outlier : outliers) {
    const UpstreamView& view = *outlier.view;
    const auto previous = this->suspicions.find(view.id);
    current[view.id] = previous != this->suspicions.end()
                           ? previous->second
                           : Suspicion{.since = now,
                                       .finished = view.finished,
                                       .latency = view.latency};
  }
  this->suspicions = std::move(current);
  const bool few_outliers =
      outliers.size() <=
      std::max<size_t>(1, upstream_count / kFewOutliersDivisor);
  const Duration suspicion_period =
      few_outliers ? kSuspicionPeriodFew : kSuspicionPeriodSeveral;
  std::erase_if(outliers, [&](const Outlier& outlier) {
    return !this->IsConfirmed(*outlier.view, suspicion_period, now);
  });
  return outliers;
}

// The end of the suspicion period alone confirms nothing: a suspected upstream
// is chosen less often, so a single bad load report could stay the latest one.
// Confirmation also takes more responses or, from an upstream that does not
// respond, a latency that has grown.
bool EjectionPlanner::IsConfirmed(const UpstreamView& view,
                                  Duration suspicion_period,
                                  Instant now) const {
  const Suspicion& suspicion = this->suspicions.at(view.id);
  const bool responded_since =
      view.finished >= suspicion.finished + kMinConfirmingResponses;
  const bool latency_grew =
      view.latency >= suspicion.latency + kMinLatencyGrowth;
  return now - suspicion.since >= suspicion_period &&
         (responded_since || latency_grew);
}

void EjectionPlanner::ReinstateRecovered(
    const std::vector<UpstreamView>& upstreams,
    Instant now,
    std::vector<EjectionChange>& changes) {
  const Duration median = MedianLatency(upstreams);
  for (const UpstreamView& view : upstreams) {
    const auto found = this->ejected.find(view.id);
    if (found == this->ejected.end()) {
      continue;
    }
    // A restarted upstream counts its finished requests from 0 again.
    Ejection& ejection = found->second;
    ejection.finished_before =
        std::min(ejection.finished_before, view.finished);
    const bool tried =
        view.finished >= ejection.finished_before + kMinTrialResponses;
    const bool recovered =
        view.error_share <= kErrorShareLimit && !IsSlow(view, median);
    if (ejection.trial_from <= now && tried && recovered) {
      this->ejected.erase(found);
      changes.push_back({.upstream = view.id, .ejected = false});
    } else if (ejection.trial_from <= now && tried) {
      ejection.trial_from = now + this->NextEjectionTime(view.id, now);
      ejection.finished_before = view.finished;
    }
  }
}

void EjectionPlanner::EjectWorst(std::vector<Outlier> outliers,
                                 size_t allowed,
                                 Instant now,
                                 std::vector<EjectionChange>& changes) {
  std::sort(outliers.begin(), outliers.end(),
            [](const Outlier& left, const Outlier& right) {
              return left.severity != right.severity
                         ? left.severity > right.severity
                         : left.view->id < right.view->id;
            });
  for (const Outlier& outlier : outliers) {
    if (this->ejected.size() >= allowed) {
      return;
    }
    const std::string& id = outlier.view->id;
    this->ejected[id] = {.fault = outlier.fault,
                         .trial_from = now + this->NextEjectionTime(id, now),
                         .finished_before = outlier.view->finished};
    changes.push_back(
        {.upstream = id, .ejected = true, .fault = outlier.fault});
  }
}

void EjectionPlanner::RemoveAbsent(const std::vector<UpstreamView>& upstreams) {
  std::set<std::string> present;
  for (const UpstreamView& view : upstreams) {
    present.insert(view.id);
  }
  const auto is_absent = [&](const auto& entry) {
    return !present.contains(entry.first);
  };
  std::erase_if(this->ejected, is_absent);
  std::erase_if(this->histories, is_absent);
}

// Each ejection within kBackoffResetTime of the previous one doubles the
// ejection time, so that a flapping upstream stays ejected for longer and
// longer.
Duration EjectionPlanner::NextEjectionTime(const std::string& upstream,
                                           Instant now) {
  EjectionHistory& history = this->histories[upstream];
  if (history.ejections > 0 && now - history.last_ejected > kBackoffResetTime) {
    history.ejections = 0;
  }
  const int doublings = std::min(history.ejections, 5);
  ++history.ejections;
  history.last_ejected = now;
  return std::min(kFirstEjection * (1 << doublings), kMaxEjection);
}

}  // namespace kingcupstair::health
