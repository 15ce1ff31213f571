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
#include "components/control/departure_loop.h"
#include "components/control/directory_keeper.h"
#include "components/control/evidence_loop.h"
#include "components/control/fleet.h"
#include "components/control/gossip_loop.h"
#include "components/control/host_loop.h"
#include "components/control/loan_loop.h"
#include "components/control/permit_source.h"
#include "components/control/rate_keeper.h"
#include "components/control/rollout_loop.h"
#include "components/control/share_loop.h"
#include "components/fibers/worker_pool.h"
#include "components/guard/guard.h"
#include "components/http/server.h"
#include "components/ingress/ingress.h"
#include "components/rpc/peer_server.h"
#include "components/site/site_interface.h"

namespace kingcupstair {

/// One process of the fleet. Owns the ingress, the guard, the control loops and
/// the listening ports of the process.
class Daemon {
 public:
  Daemon(DaemonSettings settings, site::SiteInterface interface);
  ~Daemon();

  /// Opens all ports and starts the control loops. Returns an error if a port
  /// cannot be opened.
  absl::Status Start();

  /// Leaves the fleet without breaking off a request. Accepts callers' requests
  /// for the leave time of the settings, then waits up to 60 s for the requests
  /// in flight.
  void Leave();

 private:
  membership::HostRecord OwnRecord() const;
  rpc::PeerHandlers MakeHandlers();
  http::ServerLimits CallerLimits() const;
  void StartLoops();
  /// Starts a fiber that repeats `step` until the process stops.
  void SpawnLoop(std::function<void()> step);
  /// Publishes the record of this host to the directory if it changed.
  void PublishOwn();
  /// Passes the hosts and the configuration to the ingress if either changed.
  void RefreshBoard();
  /// Updates the ejected upstreams and records each change as an event.
  void PlanEjections();
  /// Fetches the configuration from a peer that has a higher revision.
  void FetchNewerConfiguration();
  /// Counts and logs the messages that were given up for want of memory.
  void CountClosedMessages();
  /// Counts the exceptions that ended a step since the last call.
  void CountExceptions();
  bool IsIsolated() const;
  rpc::ZoneRelation RelationTo(const std::string& host) const;
  /// Waits until no request and no run is in progress, at most until `until`.
  void WaitUntilIdle(Instant until) const;

  DaemonSettings settings;
  site::SiteInterface interface;
  std::shared_ptr<const HeaderNames> header_names;
  uint64_t incarnation;
  std::atomic<bool> leaving{false};
  Snapshot<membership::StopSchedule> stop_schedule;
  std::atomic<bool> stopping{false};
  std::atomic<int> loops_running{0};

  rpc::EventLoop rpc_loop;
  fibers::WorkerPool workers;
  control::ConfigKeeper config;
  events::Recorder recorder;
  guard::SharedCrashLedger crashes;
  control::DirectoryKeeper directory;
  control::RateKeeper rates;
  membership::IsolationDetector isolation;
  rpc::TrafficCounters traffic;
  rpc::PeerClients peers;
  store::Client store;
  control::Fleet fleet;
  control::ConfigLoop config_loop;
  control::GossipLoop gossip_loop;
  control::DepartureLoop departures;
  control::EvidenceLoop evidence;
  control::LoanLoop loan_loop;
  control::ShareLoop share_loop;
  control::HostLoop host_loop;
  control::RolloutLoop rollout_loop;
  control::PermitSource permits;
  guard::Guard guard;
  ingress::UpstreamRegistry registry;
  ingress::AttemptRunner runner;
  ingress::Ingress ingress;
  rpc::PeerServer peer_server;
  http::Server caller_server;
  AdminPages admin_pages;
  http::Server admin_server;
  http::Server ready_server;
  http::Server metrics_server;

  /// Directory digest and revision of the last RefreshBoard().
  uint64_t registry_digest = 0;
  uint64_t registry_load_count = 0;
  uint64_t registry_revision = 0;
  /// From the record that PublishOwn() built last; the pools are a bit mask.
  size_t published_upstream_count = 0;
  uint32_t published_pools = 0;
  membership::HostRecord published_record;
  Instant published_at;
  /// Value of the last CountClosedMessages().
  uint64_t closed_messages = 0;
  /// Value of the last CountExceptions().
  uint64_t counted_exceptions = 0;
};

}  // namespace kingcupstair

#endif  // APPS_KINGCUPSTAIRD_DAEMON_H_
