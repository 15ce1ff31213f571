#ifndef COMPONENTS_BALANCING_PLACEMENT_H_
#define COMPONENTS_BALANCING_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "components/balancing/chooser.h"
#include "components/base/time.h"
#include "components/health/upstream_view.h"

namespace kingcupstair::balancing {

/// An upstream that a request may be placed at, with what this host knows of
/// the wait there.
struct PlacementCandidate {
  health::UpstreamView view;
  /// The upstream is ejected and is due for trial requests.
  bool on_trial = false;
  /// Reported time until a new request gets a slot; nothing if not known.
  std::optional<Duration> reported_wait;
  /// Age of that report.
  Duration age{};
  /// Requests that this host has sent there since the report.
  int sent_since_report = 0;

  bool operator==(const PlacementCandidate&) const = default;
};

/// What the placement of a request depends on.
struct PlacementRequest {
  /// Time that the request is expected to run; 0 if not known.
  Duration expected_work{};
  /// Latency objective of the request; 0 if there is none.
  Duration objective{};
  uint64_t body_bytes = 0;
  /// The body was already sent to another availability zone.
  bool has_crossed_zones = false;
  HealthPreference health = HealthPreference::kAny;
};

/// Whether requests of a service leave the own availability zone. One for each
/// service.
struct SpillState {
  bool spilling = false;
};

enum class PlacementReason {
  kOwnZone,        ///< The own availability zone has room, or none has more.
  kSooner,         ///< Sooner in another zone by more than the hop costs.
  kOwnZoneUnused,  ///< No upstream of the own zone may be used.
  kTrial,          ///< A trial request.
};

/// Returns the name of the reason in lower case, with hyphens.
const char* ToText(PlacementReason reason);

struct PlacementChoice {
  std::string upstream;
  PlacementReason reason = PlacementReason::kOwnZone;
  /// A young report says that no slot is free, so that a request for a slot
  /// that is free now would be in vain.
  bool expects_wait = false;

  bool operator==(const PlacementChoice&) const = default;
};

/// That no upstream is expected to have a slot in time.
struct NoRoom {
  /// Time after which an upstream is expected to have a slot in time.
  Duration retry_after{};
  /// Age of the oldest report that this rests on.
  Duration age{};

  bool operator==(const NoRoom&) const = default;
};

/// Load balancing by expected completion: the reported wait for a slot, aged,
/// plus the work that this host has sent there since, plus the request's own
/// work. Compares a few random upstreams, since all ingresses have similar
/// reports and would otherwise choose the same upstream. Requests stay in the
/// own availability zone unless the wait there is longer by more than the hop
/// to another one costs.
class Placement {
 public:
  struct Options {
    std::string own_zone;
    uint64_t seed = 0;
    /// Bandwidth of the link of this host in Mbit/s; 0 if not known.
    int link_mbps = 0;
  };

  explicit Placement(Options options);

  /// Returns true if a report of this age counts. Without any that counts,
  /// there is nothing to base a placement on.
  static bool IsRecent(Duration age);

  /// Returns the upstream for the next attempt, or nullopt if none is left.
  /// Leaves out upstreams in `tried`, and those whose path is closed. A
  /// fraction of the requests goes to an upstream on trial.
  std::optional<PlacementChoice> Choose(
      const std::vector<PlacementCandidate>& candidates,
      const std::set<std::string>& tried,
      const PlacementRequest& request,
      SpillState& spill);

  /// Returns true if a young report shows that there is no slot within
  /// `max_wait`.
  static bool ShowsNoRoom(std::optional<Duration> reported_wait,
                          Duration age,
                          Duration max_wait);

  /// Returns when to come back if young reports show that no upstream has a
  /// slot within `max_wait`, and nothing otherwise. The times of many requests
  /// are spread, so that they don't come back together.
  std::optional<NoRoom> FindNoRoom(
      const std::vector<PlacementCandidate>& candidates,
      const std::set<std::string>& tried,
      Duration max_wait);

  /// Records how long a call to a host in `zone` took.
  void OnRoundTrip(const std::string& zone, Duration time);

  /// Returns the time that a request loses on its way to `zone`, with the
  /// load of its bytes on the links as a time; 0 for the own zone.
  Duration HopCost(const std::string& zone,
                   const PlacementRequest& request) const;

 private:
  /// An upstream with its expected times in microseconds.
  struct Estimate {
    PlacementChoice ToChoice(PlacementReason reason) const;

    const health::UpstreamView* view = nullptr;
    bool expects_wait = false;
    double wait = 0;
    /// Wait, run and hop together.
    double completion = 0;
  };
  using Estimates = std::vector<Estimate>;

  /// Estimates all usable upstreams. Sets `mean_waits` to the mean reported
  /// wait by zone, without the zones of which nothing is known. Younger reports
  /// weigh more.
  Estimates EstimateAll(const std::vector<const PlacementCandidate*>& usable,
                        const PlacementRequest& request,
                        std::map<std::string, double>& mean_waits) const;
  /// Returns whether the wait in the own zone exceeds that in another one by
  /// enough for requests to leave the own zone.
  bool IsSpilling(const Estimates& others,
                  const std::map<std::string, double>& mean_waits,
                  Duration objective,
                  bool was_spilling) const;
  /// Returns the best of some random upstreams of `from`.
  const Estimate& PickFrom(const Estimates& from, HealthPreference health);
  /// Returns an upstream on trial for this request, or null.
  const health::UpstreamView* PickTrial(
      const std::vector<const health::UpstreamView*>& on_trial,
      bool has_others,
      uint64_t body_bytes);
  /// Returns how long the link of this host needs for a body.
  Duration TransferTime(uint64_t body_bytes) const;

  Options options;
  std::mt19937_64 random;
  /// Round trip times by zone.
  std::map<std::string, Duration> round_trips;
};

}  // namespace kingcupstair::balancing

#endif  // COMPONENTS_BALANCING_PLACEMENT_H_
