#ifndef COMPONENTS_INGRESS_FLEET_BOARD_H_
#define COMPONENTS_INGRESS_FLEET_BOARD_H_

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "components/balancing/chooser.h"
#include "components/config/configuration.h"
#include "components/health/ejection_planner.h"
#include "components/health/path_health.h"
#include "components/ingress/choice.h"
#include "components/membership/host_record.h"
#include "components/rpc/messages.h"

namespace kingcupstair::ingress {

/// What one ingress knows of all upstreams: the newest of what their hosts
/// tell by gossip and with each answer, its own judgement of paths, and the
/// ejections that follow. Safe to use from several threads.
class FleetBoard {
 public:
  struct Options {
    std::string own_zone;
    uint64_t seed = 0;
  };

  explicit FleetBoard(Options options);

  /// Takes in the hosts and the rules in force; what is withdrawn, leaving or
  /// gone is no longer chosen.
  void Update(const std::vector<membership::HostRecord>& hosts,
              const config::Configuration& configuration,
              Instant now);

  /// Takes in how an upstream stands, as told with an answer.
  void OnStanding(const rpc::RunResult& result, Instant now);

  void OnPathReached(const std::string& host);
  void OnPathLost(const std::string& host, Instant now);

  /// Judges anew the services of which something was heard since the last
  /// time, and those with a case open; gives what has changed.
  std::vector<health::EjectionChange> Plan(Instant now);

  /// Half of what is out at an upstream of `service` on average, as far as this
  /// ingress was told lately: one with no more is worth taking at once.
  int FewInFlight(const std::string& service, Instant now) const;

  /// Chooses an upstream of `service` that is not among `tried`.
  std::optional<Choice> Choose(const std::string& service,
                               const std::set<std::string>& tried,
                               balancing::Reach reach,
                               Instant now);

  /// Chooses on the one host that is the home of `key` for `service`.
  std::optional<Choice> ChooseHome(const std::string& service,
                                   const std::string& key,
                                   Instant now);

 private:
  struct Known {
    health::UpstreamView view;
    uint64_t incarnation = 0;
    Instant answered_at;
  };

  struct Service {
    explicit Service(double floor) : planner({.floor = floor}), floor(floor) {}

    std::map<std::string, Known> upstreams;
    health::EjectionPlanner planner;
    double floor;
    bool heard_of = true;
  };

  using Listed = std::map<std::string, std::map<std::string, Known>>;

  Listed ListUpstreams(const std::vector<membership::HostRecord>& hosts,
                       const config::Configuration& configuration) const;
  static void MergeKnown(Service& service,
                         std::map<std::string, Known> listed,
                         Instant now);
  std::vector<balancing::Candidate> Candidates(const Service& service,
                                               Instant now) const;
  static Choice ChoiceOf(const Service& service, const std::string& upstream);

  mutable std::mutex mutex;
  std::map<std::string, Service> services;
  std::map<std::string, std::string> service_of;
  health::PathHealth paths;
  balancing::Chooser chooser;
};

}  // namespace kingcupstair::ingress

#endif  // COMPONENTS_INGRESS_FLEET_BOARD_H_
