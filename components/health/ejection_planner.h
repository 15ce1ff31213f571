#ifndef COMPONENTS_HEALTH_EJECTION_PLANNER_H_
#define COMPONENTS_HEALTH_EJECTION_PLANNER_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "components/base/time.h"
#include "components/health/upstream_view.h"

namespace kingcupstair::health {

/// Why an upstream is ejected.
enum class Fault { kNone, kErrors, kSlow };

/// Returns the text of `fault` as used in the details of events.
const char* ToText(Fault fault);

/// An ejection or a reinstatement of one upstream.
struct EjectionChange {
  std::string upstream;
  bool ejected = false;
  Fault fault = Fault::kNone;

  bool operator==(const EjectionChange&) const = default;
};

/// Outlier ejection for one service: decides which upstreams are excluded from
/// load balancing because they perform worse than the service's other
/// upstreams. The upstreams in use are never fewer than the floor. The evidence
/// is the error share and latency in the load reports of the upstreams' guards;
/// the network path to a host is tracked separately by PathHealth.
class EjectionPlanner {
 public:
  struct Options {
    /// Minimum fraction of the upstreams that stays in use, 0 to 1. At least
    /// one upstream stays in use at any fraction.
    double floor = 0.5;
  };

  explicit EjectionPlanner(Options options);

  /// Updates the ejections from the views of all upstreams of the service that
  /// are in service, and returns the changes.
  std::vector<EjectionChange> Plan(const std::vector<UpstreamView>& upstreams,
                                   Instant now);

  /// Returns true if `upstream` is ejected, on trial or not.
  bool IsEjected(const std::string& upstream) const;

  /// Returns true if `upstream` is ejected and its ejection time has passed, so
  /// that it may receive trial requests.
  bool IsOnTrial(const std::string& upstream, Instant now) const;

  /// Returns true if an upstream is ejected or suspected, so that the passing
  /// of time alone may change the result of Plan.
  bool HasEjectedOrSuspected() const {
    return !this->ejected.empty() || !this->suspicions.empty();
  }

  size_t ejected_count() const { return this->ejected.size(); }

 private:
  struct Ejection {
    Fault fault = Fault::kNone;
    /// The end of the ejection time: trial requests may be sent from then on.
    Instant trial_from;
    /// Finished requests of the upstream when the ejection time began.
    uint64_t finished_before = 0;
  };

  /// The state of an upstream when its suspicion period began.
  struct Suspicion {
    Instant since;
    uint64_t finished = 0;
    Duration latency{};
  };

  struct EjectionHistory {
    /// Ejections, each within the back-off reset time of the previous one.
    int ejections = 0;
    Instant last_ejected;
  };

  /// An upstream that performs worse than the others of its service.
  struct Outlier {
    const UpstreamView* view = nullptr;
    Fault fault = Fault::kNone;
    /// Orders outliers, the worst highest. Errors rank above any latency.
    double severity = 0;
  };

  std::vector<Outlier> FindOutliers(
      const std::vector<UpstreamView>& upstreams) const;
  void ReinstateRecovered(const std::vector<UpstreamView>& upstreams,
                          Instant now,
                          std::vector<EjectionChange>& changes);
  void EjectWorst(std::vector<Outlier> outliers,
                  size_t allowed,
                  Instant now,
                  std::vector<EjectionChange>& changes);
  void RemoveAbsent(const std::vector<UpstreamView>& upstreams);
  Duration NextEjectionTime(const std::string& upstream, Instant now);
  bool IsConfirmed(const UpstreamView& view,
                   Duration suspicion_period,
                   Instant now) const;
  std::vector<Outlier> SelectConfirmed(std::vector<Outlier> outliers,
                                       size_t upstream_count,
                                       Instant now);

  Options options;
  std::map<std::string, Suspicion> suspicions;
  std::map<std::string, Ejection> ejected;
  std::map<std::string, EjectionHistory> histories;
};

}  // namespace kingcupstair::health

#endif  // COMPONENTS_HEALTH_EJECTION_PLANNER_H_
