#ifndef COMPONENTS_CONTROL_FLEET_H_
#define COMPONENTS_CONTROL_FLEET_H_

#include <functional>
#include <string>
#include <vector>

#include "components/control/config_keeper.h"
#include "components/control/directory_keeper.h"
#include "components/control/rate_keeper.h"
#include "components/events/recorder.h"
#include "components/guard/crash_watch.h"
#include "components/membership/isolation.h"
#include "components/rpc/peer_clients.h"
#include "components/site/site_interface.h"
#include "components/store/client.h"

namespace kingcupstair::control {

/// Where this process stands in the fleet.
struct Places {
  /// The address at which peers reach it; its name in the fleet.
  std::string host;
  std::string zone;
  std::string region;
  /// The address at which operators' tools reach it.
  std::string admin;
  /// Hosts to ask first, before any other is known.
  std::vector<std::string> seeds;

  bool operator==(const Places&) const = default;
};

/// What the control loops of one process work on.
struct Fleet {
  Places places;
  ConfigKeeper& config;
  DirectoryKeeper& directory;
  RateKeeper& rates;
  guard::CrashWatch& crashes;
  membership::Isolation& isolation;
  rpc::PeerClients& peers;
  const store::Client& store;
  events::Recorder& recorder;
  site::ConfigurationSource configuration_source;
  /// Hosts of each availability zone that watch the store.
  size_t watchers_per_zone = 2;
  /// How long a fleet that starts for the first time gathers its hosts before
  /// one of them writes equal shares for all; zero lets the first take all and
  /// hand on.
  Duration share_gathering_time{};
  /// Tells peers now of what has just been learnt of another host.
  std::function<void()> spread_news;
  /// Called when a peer has answered a probe.
  std::function<void(const std::string& host)> on_reached;
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_FLEET_H_
