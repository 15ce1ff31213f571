#ifndef APPS_KINGCUPSTAIRD_DAEMON_SETTINGS_H_
#define APPS_KINGCUPSTAIRD_DAEMON_SETTINGS_H_

#include <string>
#include <vector>

#include "components/base/endpoint.h"
#include "components/retry/retry_budget.h"
#include "components/settings/flag_set.h"

namespace kingcupstair {

/// The settings of the daemon.
struct DaemonSettings {
  /// Where callers reach this host.
  Endpoint listen;
  /// Where this process listens for peers.
  Endpoint peer_listen;
  /// Where peers reach this host; names it in the fleet.
  Endpoint peer_address;
  /// Where upstreams on this host and operators' tools reach it.
  Endpoint admin_listen;
  Endpoint store;
  std::string zone;
  std::string region = "default";
  std::string fleet_key;
  /// Peers to ask first when the store is out.
  std::vector<Endpoint> seeds;
  int threads = 2;
  /// Where it is asked whether the host takes callers; with the admin port when
  /// the port is 0.
  Endpoint ready_listen;
  /// Where counters are read; with the admin port when the port is 0.
  Endpoint metrics_listen;
  /// "own", or the name of the site whose interface is spoken.
  std::string site_interface = "own";
  /// The service beside which this host stands; may be empty.
  std::string caller_service;
  /// Bounds of the site on retries of all hosts together.
  retry::RetryBudget::Options retries;
  int watchers_per_zone = 2;
  /// What the site tolerates beyond rates and bursts: a fraction of both, and
  /// requests on top of each burst.
  double rate_tolerance = 0;
  double rate_slack = 0;
  /// How long a leaving host goes on taking requests for other hosts.
  Duration leave_time{std::chrono::seconds(2)};
};

/// Reads and checks the settings.
settings::ParseOutcome ReadSettings(int argc,
                                    char** argv,
                                    DaemonSettings& settings);

}  // namespace kingcupstair

#endif  // APPS_KINGCUPSTAIRD_DAEMON_SETTINGS_H_
