#ifndef APPS_KINGCUPSTAIRD_DAEMON_H_
#define APPS_KINGCUPSTAIRD_DAEMON_H_

#include <atomic>
#include <functional>
#include <memory>

#include "absl/status/status.h"
#include "apps/kingcupstaird/admin_pages.h"
#include "apps/kingcupstaird/daemon_settings.h"
#include "components/control/config_keeper.h"
#include "components/control/config_loop.h"
#include "components/control/directory_keeper.h"
#include "components/control/fleet.h"
#include "components/control/gossip_loop.h"
#include "components/control/host_loop.h"
#include "components/control/loan_loop.h"
#include "components/control/permit_source.h"
#include "components/control/rate_keeper.h"
#include "components/control/share_loop.h"
#include "components/fibers/worker_pool.h"
#include "components/guard/guard.h"
#include "components/http/server.h"
#include "components/ingress/ingress.h"
#include "components/rpc/peer_server.h"
#include "components/site/site_interface.h"

namespace kingcupstair {

/// One process of the fleet: ingress, guard and its part of the control plane.
class Daemon {
 public:
  Daemon(DaemonSettings settings, site::SiteInterface interface);
  ~Daemon();

  /// Opens all ports and starts the loops.
  absl::Status Start();

  /// Leaves the fleet without cutting a request; returns when all are
  /// answered.
  void Leave();

 private:
  membership::HostRecord OwnRecord() const;
  rpc::PeerHandlers MakeHandlers();
  http::ServerLimits CallerLimits() const;
  void StartLoops();
  void Loop(std::function<void()> step);
  void PublishOwn();
  void RefreshBoard();
  void PlanEjections();
  void FollowPeers();
  bool IsIsolated() const;

  DaemonSettings settings;
  site::SiteInterface interface;
  std::shared_ptr<const Dialect> dialect;
  uint64_t incarnation;
  std::atomic<bool> leaving{false};
  std::atomic<bool> stopping{false};
  std::atomic<int> loops_running{0};

  rpc::Loop rpc_loop;
  fibers::WorkerPool workers;
  control::ConfigKeeper config;
  events::Recorder recorder;
  guard::CrashWatch crashes;
  control::DirectoryKeeper directory;
  control::RateKeeper rates;
  membership::Isolation isolation;
  rpc::PeerClients peers;
  store::Client store;
  control::Fleet fleet;
  control::ConfigLoop config_loop;
  control::GossipLoop gossip_loop;
  control::LoanLoop loan_loop;
  control::ShareLoop share_loop;
  control::HostLoop host_loop;
  control::PermitSource permits;
  guard::Guard guard;
  ingress::FleetBoard board;
  ingress::AttemptRunner runner;
  ingress::Ingress ingress;
  rpc::PeerServer peer_server;
  http::Server caller_server;
  AdminPages admin_pages;
  http::Server admin_server;
  http::Server ready_server;
  http::Server metrics_server;

  uint64_t board_digest = 0;
  uint64_t board_revision = 0;
  size_t upstreams_published = 0;
  uint32_t pools_published = 0;
  membership::HostRecord last_published;
  Instant published_at;
};

}  // namespace kingcupstair

#endif  // APPS_KINGCUPSTAIRD_DAEMON_H_
