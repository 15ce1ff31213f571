#ifndef COMPONENTS_CONTROL_FLEET_H_
#define COMPONENTS_CONTROL_FLEET_H_

#include <functional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "components/control/config_keeper.h"
#include "components/control/directory_keeper.h"
#include "components/control/rate_keeper.h"
#include "components/events/recorder.h"
#include "components/guard/shared_crash_ledger.h"
#include "components/membership/isolation.h"
#include "components/rpc/peer_clients.h"
#include "components/site/site_interface.h"
#include "components/store/client.h"

namespace kingcupstair::control {

/// The addresses and the location of this process in the fleet.
struct HostSettings {
  /// The address at which peers reach this process, and its name in the fleet.
  std::string host;
  std::string zone;
  std::string region;
  /// The address at which operators' tools reach this process.
  std::string admin;
  /// Hosts to contact while no other host is known, and from time to time
  /// later.
  std::vector<std::string> seeds;

  bool operator==(const HostSettings&) const = default;
};

/// The state and the services that the control loops of one process share.
struct Fleet {
  HostSettings settings;
  ConfigKeeper& config;
  DirectoryKeeper& directory;
  RateKeeper& rates;
  guard::SharedCrashLedger& crashes;
  membership::IsolationDetector& isolation;
  rpc::PeerClients& peers;
  const store::Client& store;
  events::Recorder& recorder;
  site::ConfigurationSource configuration_source;
  /// How long hosts of a fleet without a share table wait for each other before
  /// one of them creates the table with equal shares. With zero, the first host
  /// takes the whole and then transfers parts to the others.
  Duration share_gathering_time{};
  /// Sends pending updates to a few peers at once instead of at the next probe.
  std::function<void()> spread_updates;
  /// Keeps the departure of an upstream for the next start of this host, and
  /// must succeed before the departure is acknowledged. Suspends the calling
  /// fiber.
  std::function<absl::Status(const std::string& departure)> keep_departure;
  /// Called when a peer has responded to a probe from this host.
  std::function<void(const std::string& host)> on_reached;
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_FLEET_H_
