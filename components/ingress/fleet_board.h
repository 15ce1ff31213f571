#ifndef COMPONENTS_INGRESS_FLEET_BOARD_H_
#define COMPONENTS_INGRESS_FLEET_BOARD_H_

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "components/balancing/chooser.h"
#include "components/balancing/placement.h"
#include "components/config/configuration.h"
#include "components/health/ejection_planner.h"
#include "components/health/path_health.h"
#include "components/ingress/chosen_upstream.h"
#include "components/ingress/rollout_board.h"
#include "components/membership/host_record.h"
#include "components/rpc/messages.h"

namespace kingcupstair::ingress {

/// An upstream chosen by its expected completion.
struct PlacedUpstream {
  ChosenUpstream choice;
  balancing::PlacementReason reason = balancing::PlacementReason::kOwnZone;
  /// As in balancing::PlacementChoice.
  bool expects_wait = false;
};

/// One upstream in the preview of a placement.
struct PreviewedUpstream {
  balancing::PlacementCandidate candidate;
  /// "usable", "ejected", "trial", "unreachable" or "no-room".
  std::string state;
};

/// What Place() or Choose() would do for a request, and why.
struct PlacementPreview {
  /// The choice would be made by work, and not at random.
  bool by_work = false;
  std::vector<PreviewedUpstream> upstreams;
  std::optional<PlacedUpstream> placed;
  std::optional<balancing::NoRoom> no_room;
};

/// The state of all upstreams as this ingress knows it, and the choice of an
/// upstream for each attempt. Holds the latest load report of each upstream,
/// received by gossip or with a reply of its host, the health of the paths from
/// this host to other hosts, and the ejections. Safe to use from several
/// threads.
class UpstreamRegistry {
 public:
  struct Options {
    std::string own_zone;
    uint64_t seed = 0;
    /// Choose by expected completion where reports allow it. Otherwise at
    /// random.
    bool place_by_work = false;
    /// Bandwidth of the link of this host in Mbit/s; 0 if not known.
    int link_mbps = 0;
    RolloutBoard::Options rollouts;
  };

  explicit UpstreamRegistry(Options options);

  /// Replaces the list of hosts and applies the active configuration. Upstreams
  /// that the configuration takes out of service, whose host is leaving, or
  /// that are no longer listed are not chosen any more.
  void Update(const std::vector<membership::HostRecord>& hosts,
              const config::Configuration& configuration,
              Instant now);

  /// Records the load report of an upstream that came with a reply.
  void OnLoadReport(const rpc::RunResult& result, Instant now);

  /// Records the load report of an upstream that responded, and the limit that
  /// it named.
  void OnResponse(const rpc::RunResult& result, Instant now);

  /// Records that an upstream has no room for `time`. It is not chosen in that
  /// time while there are others.
  void OnNoRoom(const std::string& upstream, Duration time, Instant now);

  /// Returns the limit on new requests a second that the upstream named in the
  /// last response that came here; 0 for none.
  double NamedRate(const std::string& upstream) const;

  /// Records that a call to `host` was accepted in time.
  void OnPathReached(const std::string& host);

  /// Records that a call to `host` was not accepted in time.
  void OnPathLost(const std::string& host, Instant now);

  /// Updates the ejections and returns the changes. Covers the services with
  /// new load reports since the last call, and the services with ejected or
  /// suspected upstreams, whose state may change by time alone.
  std::vector<health::EjectionChange> UpdateEjections(Instant now);

  /// Returns half the mean number of in-flight requests over those upstreams of
  /// `service` that sent a load report with a recent reply, or 0 if there are
  /// none. An upstream with no more requests in flight is used at once, without
  /// comparison with others.
  int HalfMeanInFlight(const std::string& service, Instant now) const;

  /// Chooses an upstream of `service` that is not among `tried`. Returns
  /// nothing if none is left.
  std::optional<ChosenUpstream> Choose(const std::string& service,
                                       const std::set<std::string>& tried,
                                       balancing::ZonePreference reach,
                                       balancing::HealthPreference health,
                                       Instant now);

  /// Returns true if Place() is to be used for `service`.
  bool PlacesByWork(const std::string& service, Instant now) const;

  /// Chooses an upstream of `service` that is not among `tried` by its expected
  /// completion, and counts the request as sent there. Returns nothing if none
  /// is left.
  std::optional<PlacedUpstream> Place(
      const std::string& service,
      const std::set<std::string>& tried,
      const balancing::PlacementRequest& request,
      Instant now);

  /// Returns when to come back if young reports show that no upstream of
  /// `service` outside `tried` has a slot within `max_wait`.
  std::optional<balancing::NoRoom> FindNoRoom(
      const std::string& service,
      const std::set<std::string>& tried,
      Duration max_wait,
      Instant now);

  /// Returns what would become of a request that may wait for `max_wait`.
  /// Changes nothing.
  PlacementPreview Preview(const std::string& service,
                           const balancing::PlacementRequest& request,
                           Duration max_wait,
                           Instant now) const;

  /// Records how long a call to the host of `upstream` took.
  void OnRoundTrip(const std::string& upstream, Duration time);

  /// Counts a request of `service`, and chooses an upstream of the version that
  /// is rolled out if the request goes there as a trial. The other functions
  /// never choose an upstream of that version.
  std::optional<ChosenUpstream> ChooseNewVersion(const std::string& service,
                                                 bool non_idempotent,
                                                 Instant now);

  /// Records the start of an attempt. Returns true if its upstream has the
  /// version that is rolled out.
  bool OnAttemptStarted(const std::string& service,
                        const std::string& upstream);

  /// Records the end of an attempt as evidence of a roll-out, if there is one.
  void OnAttemptEnded(const AttemptEnd& end);

  /// The functions of RolloutBoard with these names.
  std::vector<health::RolloutState> TickRollouts(Instant now);
  void OnStoredStatus(const std::string& service,
                      const std::string& version,
                      bool is_rolled_back);
  std::vector<membership::VersionRollback> OwnRollbacks() const;

  /// Chooses an upstream of `service` on the home host of `key`. All ingresses
  /// with the same list of hosts find the same home host. Returns nothing if no
  /// upstream there can be used.
  std::optional<ChosenUpstream> ChooseOnHomeHost(const std::string& service,
                                                 const std::string& key,
                                                 Instant now);

 private:
  /// What is known of the wait at an upstream.
  struct WaitReport {
    std::optional<Duration> wait;
    Instant reported_at;
    /// Requests sent there since the report.
    int sent = 0;
  };

  struct UpstreamState {
    health::UpstreamView view;
    uint64_t incarnation = 0;
    /// Version of the host's record.
    uint64_t record_version = 0;
    WaitReport wait_report;
    /// When the last load report came with a reply.
    Instant replied_at;
    /// When the failure probability was reported, with a reply or by gossip.
    Instant health_reported_at;
    /// Since when the upstream has been known.
    Instant known_since;
  };

  struct Service {
    explicit Service(double floor) : planner({.floor = floor}), floor(floor) {}

    std::map<std::string, UpstreamState> upstreams;
    health::EjectionPlanner planner;
    double floor;
    /// Load reports or the list of upstreams changed since the last
    /// UpdateEjections.
    bool has_new_reports = true;
    balancing::SpillState spill;
  };

  /// Upstreams by id, by service.
  using UpstreamsByService =
      std::map<std::string, std::map<std::string, UpstreamState>>;

  UpstreamsByService ListUpstreams(
      const std::vector<membership::HostRecord>& hosts,
      const config::Configuration& configuration) const;
  static void MergeUpstreams(Service& service,
                             std::map<std::string, UpstreamState> listed,
                             Instant now);
  /// Returns the upstreams that are not ejected, without those of the version
  /// that is held back.
  std::vector<balancing::Candidate> Candidates(const std::string& name,
                                               const Service& service,
                                               Instant now) const;
  std::vector<balancing::PlacementCandidate> PlacementCandidates(
      const std::string& name,
      const Service& service,
      Instant now) const;
  /// Keeps the wait report of `before` unless the record in `listed` is newer.
  static void KeepNewerWaitReport(const UpstreamState& before,
                                  UpstreamState& listed,
                                  Instant now);
  ChosenUpstream LocateUpstream(const Service& service,
                                const std::string& upstream) const;
  /// Returns the eligible upstreams that are not ejected.
  std::vector<balancing::Candidate> CandidatesIf(
      const Service& service,
      const std::function<bool(const UpstreamState&)>& is_eligible,
      Instant now) const;

  Options options;
  mutable std::mutex mutex;
  std::map<std::string, Service> services;
  std::map<std::string, std::string> service_of;
  struct NamedLimit {
    double rate = 0;
    Instant heard_at;
  };
  /// By upstream. Outlives the record of a host that restarts and has lost the
  /// limit.
  std::map<std::string, NamedLimit> named_limits;
  /// When upstreams that have no room are expected to have some.
  std::map<std::string, Instant> room_at;
  health::PathHealth paths;
  RolloutBoard rollouts;
  balancing::Chooser chooser;
  balancing::Placement placement;
};

}  // namespace kingcupstair::ingress

#endif  // COMPONENTS_INGRESS_FLEET_BOARD_H_
