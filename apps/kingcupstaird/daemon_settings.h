#ifndef APPS_KINGCUPSTAIRD_DAEMON_SETTINGS_H_
#define APPS_KINGCUPSTAIRD_DAEMON_SETTINGS_H_

#include <string>
#include <vector>

#include "components/admission/upstream_gate.h"
#include "components/base/endpoint.h"
#include "components/membership/stop_schedule.h"
#include "components/retry/retry_budget.h"
#include "components/settings/flag_set.h"
#include "components/site/site_bounds.h"

namespace kingcupstair {

/// Settings of the daemon, read from flags and the environment.
struct DaemonSettings {
  /// Address on which callers are served.
  Endpoint listen;
  /// Address on which peers are served.
  Endpoint peer_listen;
  /// Address at which peers reach this host; also its name in the fleet.
  Endpoint peer_address;
  /// Address for the upstreams on this host and for operators' tools.
  Endpoint admin_listen;
  Endpoint store;
  std::string zone;
  std::string region = "default";
  std::string fleet_key;
  /// Peers to contact first when the store is unavailable.
  std::vector<Endpoint> seeds;
  int threads = 2;
  /// Memory of the process in millions of bytes; 0 if it is not known.
  int memory_mb = 0;
  /// Connections of callers; 0 if the limit on descriptors decides.
  int max_connections = 0;
  /// Address of the readiness check. With port 0 only the admin port serves it.
  Endpoint ready_listen;
  /// Address of the metrics. With port 0 only the admin port serves them.
  Endpoint metrics_listen;
  /// "own", or the name of the site whose interface is used.
  std::string site_interface = "own";
  /// Bounds of the site in the form of its interface; may be empty.
  std::string site_bounds;
  /// Service of the upstream on this host, sent to upstreams with each request;
  /// may be empty.
  std::string caller_service;
  /// Requests are placed by the work at the upstreams instead of at random.
  bool place_by_work = false;
  /// Retry budget of the site over all hosts.
  retry::RetryBudget::Options retries;
  /// How upstreams that announce when they are cold warm up.
  admission::RateLimitedWarmUp warm_up;
  /// Bandwidth of the network link of this host in Mbit/s; 0 if not known.
  double link_mbps = 0;
  /// Upstreams admit requests by their expected work instead of the average
  /// latency.
  bool admission_by_work = false;
  /// How far the site lets an organisation exceed its rate limit: a fraction of
  /// rate and burst, and a number of requests on top of the burst.
  double rate_tolerance = 0;
  double rate_slack = 0;
  /// Fraction of the requests of a service that a faulty new version may get.
  double expose_share = 0.1;
  /// How long this host may take to stop. The requests that it still accepts
  /// run on other hosts.
  membership::StopSchedule::Options stop;
};

/// Replaces the settings for which the site sets bounds of its own.
void ApplyBounds(const site::SiteBounds& bounds, DaemonSettings& settings);

/// Reads the settings from the flags in `argv` and from the environment, and
/// checks them. Reports errors on the error stream.
settings::ParseOutcome ReadSettings(int argc,
                                    char** argv,
                                    DaemonSettings& settings);

}  // namespace kingcupstair

#endif  // APPS_KINGCUPSTAIRD_DAEMON_SETTINGS_H_
