#ifndef COMPONENTS_HEALTH_EJECTION_PLANNER_H_
#define COMPONENTS_HEALTH_EJECTION_PLANNER_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "components/base/time.h"
#include "components/health/upstream_view.h"

namespace kingcupstair::health {

/// Why an upstream is judged unwell.
enum class Fault { kNone, kErrors, kSlow };

const char* ToText(Fault fault);

/// A change in the state of one upstream.
struct EjectionChange {
  std::string upstream;
  bool ejected = false;
  Fault fault = Fault::kNone;

  bool operator==(const EjectionChange&) const = default;
};

/// Decides for one service which upstreams are not chosen because they do
/// worse than their peers. The upstreams left are never fewer than the floor.
/// Evidence is the upstreams' own results at their gates; the path to a host
/// is judged apart, by PathHealth.
class EjectionPlanner {
 public:
  struct Options {
    /// Share of the upstreams that stay in use, 0 to 1.
    double floor = 0.5;
  };

  explicit EjectionPlanner(Options options);

  /// Judges anew from all upstreams of the service that are in service, and
  /// gives what has changed.
  std::vector<EjectionChange> Plan(const std::vector<UpstreamView>& upstreams,
                                   Instant now);

  bool IsEjected(const std::string& upstream) const;

  /// An ejected upstream whose time is up gets single requests on trial.
  bool IsOnTrial(const std::string& upstream, Instant now) const;

  /// True while time alone may change the judgement.
  bool HasOpenCases() const {
    return !this->ejected.empty() || !this->suspicions.empty();
  }

  size_t ejected_count() const { return this->ejected.size(); }

 private:
  struct Ejection {
    Fault fault = Fault::kNone;
    Instant until;
    uint64_t finished_before = 0;
  };

  /// How an upstream stood when it first looked bad.
  struct Suspicion {
    Instant since;
    uint64_t finished = 0;
    Duration latency{};
  };

  struct Record {
    int times = 0;
    Instant last;
  };

  struct Suspect {
    const UpstreamView* view = nullptr;
    Fault fault = Fault::kNone;
    double badness = 0;
  };

  std::vector<Suspect> FindSuspects(
      const std::vector<UpstreamView>& upstreams) const;
  void ReturnRecovered(const std::vector<UpstreamView>& upstreams,
                       Instant now,
                       std::vector<EjectionChange>& changes);
  void EjectWorst(std::vector<Suspect> suspects,
                  size_t allowed,
                  Instant now,
                  std::vector<EjectionChange>& changes);
  void ForgetGone(const std::vector<UpstreamView>& upstreams);
  Duration NextEjectionTime(const std::string& upstream, Instant now);
  bool IsConfirmed(const UpstreamView& view, Duration hold, Instant now) const;
  std::vector<Suspect> KeepConfirmed(std::vector<Suspect> suspects,
                                     size_t known,
                                     Instant now);

  Options options;
  std::map<std::string, Suspicion> suspicions;
  std::map<std::string, Ejection> ejected;
  std::map<std::string, Record> records;
};

}  // namespace kingcupstair::health

#endif  // COMPONENTS_HEALTH_EJECTION_PLANNER_H_
