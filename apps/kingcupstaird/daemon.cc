#include "apps/kingcupstaird/daemon.h"

#include <sys/resource.h>

#include <algorithm>
#include <climits>
#include <random>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "components/base/hash.h"
#include "components/fibers/boundary.h"
#include "components/http/byte_lease.h"
#include "components/logging/log.h"
#include "components/membership/incarnation.h"

namespace kingcupstair {
namespace {

constexpr Duration kGuardTickInterval{std::chrono::milliseconds(10)};
constexpr Duration kRefreshInterval{std::chrono::milliseconds(100)};
/// Least time between two host records that differ only in the load of the
/// upstreams. An ingress that sends requests to an upstream gets its load with
/// each response.
constexpr Duration kMinLoadPublishInterval{std::chrono::seconds(2)};
/// Each record goes to every host, so the interval grows with the fleet: all
/// hosts together publish 20 such records a second at most.
constexpr Duration kLoadPublishIntervalPerHost{std::chrono::milliseconds(50)};
constexpr Duration kEjectionInterval{std::chrono::milliseconds(50)};
constexpr Duration kPeerFetchInterval{std::chrono::milliseconds(20)};
constexpr Duration kDrainPollInterval{std::chrono::milliseconds(20)};
/// Keeps a loop whose step throws each time from taking the processor.
constexpr Duration kDelayAfterException{std::chrono::seconds(1)};
constexpr Duration kLastResultsTime{std::chrono::milliseconds(100)};
/// Hosts that start together need some rounds of gossip to find each other.
constexpr Duration kShareGatheringTime{std::chrono::milliseconds(2500)};

/// Part of the memory for messages in which responses are kept for a repeat of
/// their request.
constexpr size_t kRetainedResponsesDivisor = 8;

size_t MaxRetainedResponseBytes(int memory_mb) {
  const size_t unbounded = once::RunLedger::Options{}.max_retained_bytes;
  const size_t bytes = http::MessageBytesOf(memory_mb);
  return bytes == 0 ? unbounded
                    : std::min(unbounded, bytes / kRetainedResponsesDivisor);
}

/// Part of the memory that long bodies from other hosts may take, together with
/// the messages of callers and upstreams. The rest is for the process itself,
/// one more copy of a body while its message is read, and growth of the other
/// messages.
constexpr double kPeerBodyFraction = 0.62;

size_t MaxPeerBodyBytes(int memory_mb) {
  return http::PartOfMemory(memory_mb, kPeerBodyFraction);
}

/// Descriptors that are kept for peers, the store, upstreams and operators: a
/// number, and one in so many of the limit.
constexpr rlim_t kReservedDescriptors = 64;
constexpr rlim_t kReservedDescriptorsDivisor = 8;

int MaxConnections(int setting) {
  rlimit limit{};
  if (setting > 0 || getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return setting;
  }
  const rlim_t reserve =
      kReservedDescriptors + limit.rlim_cur / kReservedDescriptorsDivisor;
  return static_cast<int>(
      std::clamp<rlim_t>(limit.rlim_cur, reserve + 1, INT_MAX) - reserve);
}

uint64_t NewIncarnation() {
  return membership::MakeIncarnation(WallClockMillis(), std::random_device{}());
}

control::HostSettings MakeHostSettings(const DaemonSettings& settings) {
  control::HostSettings host_settings{.host = ToText(settings.peer_address),
                                      .zone = settings.zone,
                                      .region = settings.region,
                                      .admin = ToText(settings.admin_listen)};
  for (const Endpoint& seed : settings.seeds) {
    host_settings.seeds.push_back(ToText(seed));
  }
  return host_settings;
}

membership::HostRecord MakeHostRecord(
    const control::HostSettings& host_settings,
    uint64_t incarnation) {
  return {.host = host_settings.host,
          .incarnation = incarnation,
          .version = 1,
          .zone = host_settings.zone,
          .region = host_settings.region,
          .admin = host_settings.admin};
}

}  // namespace

Daemon::Daemon(DaemonSettings initial_settings,
               site::SiteInterface site_interface)
    : settings(std::move(initial_settings)),
      interface(std::move(site_interface)),
      header_names(
          std::make_shared<const HeaderNames>(this->interface.header_names)),
      incarnation(NewIncarnation()),
      workers(this->settings.threads),
      recorder({.host = ToText(this->settings.peer_address),
                .revision = [this] { return this->config.Revision(); }}),
      directory(
          {.load_scope = membership::LoadScopeFor(this->settings.link_mbps)},
          MakeHostRecord(MakeHostSettings(this->settings), this->incarnation)),
      rates({.host = ToText(this->settings.peer_address),
             .tolerance = this->settings.rate_tolerance,
             .slack = this->settings.rate_slack,
             .retries = this->settings.retries},
            this->config.snapshot()),
      isolation({.start = MonotonicNow()}),
      traffic(
          this->recorder.counters(),
          [this](const std::string& host) { return this->RelationTo(host); }),
      peers(this->rpc_loop,
            {.own_host = ToText(this->settings.peer_address),
             .incarnation = this->incarnation,
             .fleet_key = this->settings.fleet_key,
             .traffic = &this->traffic}),
      store(
          {.server = this->settings.store, .protocol = this->interface.store}),
      fleet{
          .settings = MakeHostSettings(this->settings),
          .config = this->config,
          .directory = this->directory,
          .rates = this->rates,
          .crashes = this->crashes,
          .isolation = this->isolation,
          .peers = this->peers,
          .store = this->store,
          .recorder = this->recorder,
          .configuration_source = this->interface.configuration,
          .share_gathering_time =
              this->interface.hosts_in_store ? kShareGatheringTime : Duration{},
          .spread_updates =
              [this] {
                this->workers.Spawn([this] { this->gossip_loop.SpreadNow(); });
              },
          .keep_departure =
              [this](const std::string& departure) {
                return this->departures.Keep(departure);
              },
          .on_reached =
              [this](const std::string& host) {
                this->registry.OnPathReached(host);
              }},
      config_loop(this->fleet),
      gossip_loop(this->fleet, this->incarnation),
      departures(
          this->fleet,
          this->gossip_loop,
          {.learn =
               [this](const std::vector<std::string>& learned) {
                 this->guard.LearnDepartures(learned);
               },
           .known = [this] { return this->guard.KnownDepartures(); },
           .publish =
               [this] { this->directory.PublishOwn(this->OwnRecord()); }}),
      evidence(this->fleet, this->gossip_loop),
      loan_loop(this->fleet),
      share_loop(this->fleet),
      host_loop(this->fleet, this->gossip_loop),
      rollout_loop(
          this->fleet,
          this->interface.rollout_status,
          {.tick =
               [this] { return this->registry.TickRollouts(MonotonicNow()); },
           .on_stored_status =
               [this](const std::string& service,
                      const std::string& version,
                      bool is_rolled_back) {
                 this->registry.OnStoredStatus(service, version,
                                               is_rolled_back);
               }}),
      permits(this->fleet),
      guard(
          {.zone = this->settings.zone,
           .warm_up = this->settings.warm_up,
           .admission_by_work = this->settings.admission_by_work,
           .incarnation = [this] { return this->directory.OwnIncarnation(); },
           .isolated = [this] { return this->IsIsolated(); },
           .departures_known =
               [this] {
                 return this->departures.IsKnown() &&
                        this->evidence.IsWaitOver();
               },
           .on_departure =
               [this](const std::string& departure) {
                 this->workers.Spawn([this, departure] {
                   this->departures.Keep(departure).IgnoreError();
                 });
               },
           .keep_evidence =
               [this](once::Fingerprint fingerprint) {
                 this->evidence.Keep(fingerprint);
               },
           .header_names = this->header_names,
           .max_retained_response_bytes =
               MaxRetainedResponseBytes(this->settings.memory_mb),
           .peer_bodies =
               {.max_bytes = MaxPeerBodyBytes(this->settings.memory_mb),
                .own_bytes = [] { return http::ProcessByteBudgetUse().used; }}},
          this->config.snapshot(),
          this->crashes,
          this->recorder),
      registry({.own_zone = this->settings.zone,
                .seed = this->incarnation,
                .place_by_work = this->settings.place_by_work,
                .link_mbps = static_cast<int>(this->settings.link_mbps),
                .rollouts = {.own_host = this->fleet.settings.host,
                             .expose_share = this->settings.expose_share,
                             .started_at = MonotonicNow()}}),
      runner({.own_host = this->fleet.settings.host},
             this->guard,
             this->peers,
             this->registry,
             this->recorder),
      ingress({.isolated = [this] { return this->IsIsolated(); },
               .permits = {.acquire =
                               [this](const std::string& organisation,
                                      const std::string& service) {
                                 return this->permits.Acquire(organisation,
                                                              service);
                               },
                           .try_retry =
                               [this](const rpc::RetryTokenRequest& call) {
                                 return this->permits.TryRetry(call);
                               },
                           .respond_by =
                               [this] {
                                 return this->stop_schedule.Read()->respond_by;
                               }},
               .header_names = this->header_names,
               .caller_service = this->settings.caller_service,
               .repeat_probability_of_call =
                   [this](const std::string& service) {
                     const double probability = this->guard.AttributeCall(
                         this->settings.caller_service);
                     this->permits.CountCall(this->settings.caller_service,
                                             service, probability);
                     return probability;
                   }},
              this->config.snapshot(),
              this->stop_schedule,
              this->registry,
              this->runner,
              this->crashes,
              this->recorder),
      peer_server(this->rpc_loop,
                  {.listen = this->settings.peer_listen,
                   .fleet_key = this->settings.fleet_key,
                   .traffic = &this->traffic},
                  this->MakeHandlers()),
      caller_server(
          this->workers,
          {.listen = this->settings.listen,
           .limits = [this] { return this->CallerLimits(); },
           .counts_requests = true,
           .max_connections = MaxConnections(this->settings.max_connections)},
          http::CancellableHandler([this](const http::Request& request,
                                          const CancellationPtr& caller) {
            return this->ingress.Handle(request, caller);
          })),
      admin_pages(this->fleet,
                  this->guard,
                  this->registry,
                  this->interface,
                  this->leaving),
      admin_server(this->workers,
                   {.listen = this->settings.admin_listen},
                   [this](const http::Request& request) {
                     return this->admin_pages.Handle(request);
                   }),
      ready_server(this->workers,
                   {.listen = this->settings.ready_listen},
                   [this](const http::Request& request) {
                     return this->admin_pages.Handle(request);
                   }),
      metrics_server(this->workers,
                     {.listen = this->settings.metrics_listen},
                     [this](const http::Request& request) {
                       return this->admin_pages.Handle(request);
                     }) {}

// The loops and the RPC thread use the members, so both stop before the members
// are destroyed.
Daemon::~Daemon() {
  this->stopping = true;
  this->rpc_loop.Stop();
  this->workers.Stop();
}

absl::Status Daemon::Start() {
  http::BoundMessageMemory(this->settings.memory_mb);
  this->permits.UpdatePoolHosts();
  if (const auto status = this->admin_server.Start(); !status.ok()) {
    return status;
  }
  for (const auto& [server, listen] :
       {std::pair(&this->ready_server, this->settings.ready_listen),
        std::pair(&this->metrics_server, this->settings.metrics_listen)}) {
    if (listen.port == 0) {
      continue;
    }
    if (const auto status = server->Start(); !status.ok()) {
      return status;
    }
  }
  if (const auto status = this->peer_server.Start(); !status.ok()) {
    return status;
  }
  if (const auto status = this->caller_server.Start(); !status.ok()) {
    return status;
  }
  this->StartLoops();
  this->recorder.Record({.kind = "host_started", .zone = this->settings.zone});
  return absl::OkStatus();
}

void Daemon::SpawnLoop(std::function<void()> step) {
  ++this->loops_running;
  this->workers.Spawn([this, step = std::move(step)] {
    while (!this->stopping) {
      if (!fibers::RunContained("step of a loop", step)) {
        fibers::SleepFor(kDelayAfterException);
      }
    }
    --this->loops_running;
  });
}

void Daemon::StartLoops() {
  this->SpawnLoop([this] { this->config_loop.Step(); });
  this->SpawnLoop([this] { this->gossip_loop.Step(); });
  this->SpawnLoop([this] { this->departures.AskWitnessesStep(); });
  this->SpawnLoop([this] { this->departures.FollowStoreStep(); });
  this->SpawnLoop([this] { this->evidence.FollowStoreStep(); });
  this->SpawnLoop([this] { this->evidence.AskPeersStep(); });
  this->SpawnLoop([this] { this->loan_loop.Step(); });
  this->SpawnLoop([this] { this->share_loop.Step(); });
  if (this->interface.hosts_in_store) {
    this->SpawnLoop([this] { this->host_loop.Step(); });
  }
  this->SpawnLoop([this] { this->rollout_loop.Step(); });
  this->SpawnLoop([this] { this->FetchNewerConfiguration(); });
  this->SpawnLoop([this] {
    this->guard.Tick();
    fibers::SleepFor(kGuardTickInterval);
  });
  this->SpawnLoop([this] {
    this->PublishOwn();
    this->RefreshBoard();
    this->CountClosedMessages();
    this->CountExceptions();
    this->crashes.Expire(MonotonicNow());
    if (this->crashes.TakeNews()) {
      this->fleet.spread_updates();
    }
    fibers::SleepFor(kRefreshInterval);
  });
  this->SpawnLoop([this] { this->PlanEjections(); });
}

void Daemon::FetchNewerConfiguration() {
  const auto peer = this->gossip_loop.TakePeerWithNewerRevision();
  if (peer.has_value()) {
    this->config_loop.FetchFromPeer(*peer);
  }
  this->config_loop.CheckWatch();
  fibers::SleepFor(kPeerFetchInterval);
}

membership::HostRecord Daemon::OwnRecord() const {
  membership::HostRecord record =
      MakeHostRecord(this->fleet.settings, this->incarnation);
  record.leaving = this->leaving;
  record.pools = this->loan_loop.EstablishedPools();
  record.upstreams = this->guard.Upstreams();
  record.departures = this->guard.KnownDepartures();
  record.rollbacks = this->registry.OwnRollbacks();
  return record;
}

// A changed number of upstreams and changed pools are gossiped immediately.
// Other changes spread with the next gossip round.
void Daemon::PublishOwn() {
  const membership::HostRecord record = this->OwnRecord();
  const Instant now = MonotonicNow();
  const auto hosts = static_cast<int64_t>(this->directory.size());
  if (now - this->published_at <
          std::max(kMinLoadPublishInterval,
                   kLoadPublishIntervalPerHost * hosts) &&
      membership::HasSameUpstreams(record, this->published_record)) {
    return;
  }
  const bool changed = this->directory.PublishOwn(record);
  const bool has_new_rollbacks =
      changed && record.rollbacks != this->published_record.rollbacks;
  if (changed) {
    this->published_record = record;
    this->published_at = now;
  }
  const bool gossip_now =
      changed && (record.upstreams.size() != this->published_upstream_count ||
                  record.pools != this->published_pools || has_new_rollbacks);
  this->published_upstream_count = record.upstreams.size();
  this->published_pools = record.pools;
  if (gossip_now) {
    this->fleet.spread_updates();
  }
}

void Daemon::RefreshBoard() {
  const uint64_t digest = this->directory.Digest();
  const uint64_t revision = this->config.Revision();
  const uint64_t load_count = this->directory.AppliedLoadCount();
  if (digest == this->registry_digest && revision == this->registry_revision &&
      load_count == this->registry_load_count) {
    return;
  }
  this->registry_load_count = load_count;
  this->registry_digest = digest;
  this->registry_revision = revision;
  this->permits.UpdatePoolHosts();
  this->registry.Update(this->directory.HostsNotDead(),
                        *this->config.snapshot().Read(), MonotonicNow());
}

void Daemon::CountClosedMessages() {
  const http::ByteBudgetUse use = http::ProcessByteBudgetUse();
  const uint64_t closed = use.closed - this->closed_messages;
  if (closed == 0) {
    return;
  }
  this->closed_messages = use.closed;
  this->recorder.counters().Add("kingcupstair_closed_for_memory_total", {},
                                closed);
  logging::Write(logging::Level::kWarning,
                 "messages were given up for want of memory",
                 {{.name = "closed", .value = absl::StrCat(closed)},
                  {.name = "held_bytes", .value = absl::StrCat(use.used)}});
}

void Daemon::CountExceptions() {
  const uint64_t reported = fibers::ReportedExceptions();
  this->recorder.counters().Add("kingcupstair_exceptions_total", {},
                                reported - this->counted_exceptions);
  this->counted_exceptions = reported;
}

void Daemon::PlanEjections() {
  for (const auto& change : this->registry.UpdateEjections(MonotonicNow())) {
    this->recorder.Record({.kind = change.ejected ? "ejected" : "returned",
                           .upstream = change.upstream,
                           .detail = ToText(change.fault)});
  }
  fibers::SleepFor(kEjectionInterval);
}

http::ServerLimits Daemon::CallerLimits() const {
  const auto active = this->config.snapshot().Read();
  const config::CallersRule& callers = active->callers();
  return {.header_bytes = callers.header_bytes,
          .body_bytes = callers.body_bytes,
          .idle_timeout = callers.idle_timeout};
}

bool Daemon::IsIsolated() const {
  return !this->interface.serves_when_isolated &&
         this->isolation.IsIsolated(this->directory.size(), MonotonicNow());
}

rpc::ZoneRelation Daemon::RelationTo(const std::string& host) const {
  const auto found = this->directory.FindByHash({StableHash(host)});
  if (found.empty()) {
    return rpc::ZoneRelation::kUnknown;
  }
  const membership::HostRecord& record = found.front().record;
  if (record.region != this->settings.region) {
    return rpc::ZoneRelation::kOtherRegion;
  }
  return record.zone == this->settings.zone ? rpc::ZoneRelation::kOwnZone
                                            : rpc::ZoneRelation::kOtherZone;
}

rpc::PeerHandlers Daemon::MakeHandlers() {
  return {
      .gossip =
          [this](const rpc::GossipMessage& message) {
            return this->gossip_loop.OnGossip(message);
          },
      .sync =
          [this](const auto& versions) {
            return rpc::SyncAnswer{
                .updates = this->directory.UpdatesNewerThan(versions),
                .wanted = this->directory.OutdatedHosts(versions)};
          },
      .probe =
          [this](const std::string& host, std::function<void(bool)> done) {
            this->workers.Spawn([this, host, done = std::move(done)] {
              done(fibers::RunOr(
                  "probe a host",
                  [&] { return this->gossip_loop.CanReach(host); },
                  [] { return false; }));
            });
          },
      .head = [this] { return this->config.HeadText(); },
      .chunks =
          [this](const std::vector<std::string>& ids) {
            return this->config.ChunkTexts(ids);
          },
      .lend =
          [this](limits::ShardId shard, const std::string& borrower,
                 uint64_t sequence_number) {
            return this->permits.Lend(shard, borrower, sequence_number);
          },
      .loan_block =
          [this](uint64_t clearance) {
            return this->rates.EndLoanBlock(clearance);
          },
      .drop_loans =
          [this](const std::vector<std::string>& lenders) {
            this->rates.DropLoansOf(lenders);
          },
      .return_loans =
          [this](limits::ShardId shard, const std::string& borrower,
                 uint64_t sequence_number) {
            this->rates.ReturnLoan(shard, borrower, sequence_number);
          },
      .pool_host_leaving =
          [this](const std::string& host) {
            this->directory.MarkLeaving(host);
            this->permits.UpdatePoolHosts();
          },
      .acquire =
          [this](const rpc::PermitRequest& call, const std::string& lender,
                 std::function<void(limits::PermitGrant)> done) {
            if (!this->leaving) {
              this->permits.AcceptOffer(lender, call.offer);
            }
            if (!call.relay) {
              this->rates.CountCalls(call.organisation, call.call_counts);
              done(this->leaving
                       ? limits::PermitGrant{.has_no_loans = true}
                       : this->rates.Acquire(call.organisation, call.service,
                                             call.wanted));
              return;
            }
            this->workers.Spawn([this, call, done = std::move(done)] {
              done(fibers::RunOr(
                  "acquire permits",
                  [&] {
                    return this->permits.AcquireForPeer(call.organisation,
                                                        call.service);
                  },
                  [] { return limits::PermitGrant{}; }));
            });
          },
      .acquire_retry_token =
          [this](const rpc::RetryTokenRequest& call) {
            return this->rates.TryRetry(call);
          },
      .submit =
          [this](const once::RunRequest& request, rpc::RunDone done) {
            auto accept_result = this->guard.Accept(request);
            if (auto* refusal = std::get_if<rpc::RunResult>(&accept_result)) {
              done(std::move(*refusal));
              return;
            }
            this->workers.Spawn(
                [this,
                 run = std::get<guard::AcceptedRun>(std::move(accept_result)),
                 done = std::move(done)] {
                  done(fibers::RunOr(
                      "run a request", [&] { return this->guard.Run(run); },
                      [] {
                        return rpc::RunResult{
                            .outcome =
                                once::Unknown{.detail = once::kInternalError}};
                      }));
                });
          },
      .reserve =
          [this](const once::SlotRequest& request, CancellationPtr abandoned,
                 std::function<void(rpc::SlotAnswer)> done) {
            this->workers.Spawn([this, request,
                                 abandoned = std::move(abandoned),
                                 done = std::move(done)] {
              done(fibers::RunOr(
                  "reserve a slot",
                  [&] {
                    return this->guard.ReserveForPeer(request, abandoned);
                  },
                  [] {
                    return rpc::SlotAnswer{
                        .refusal = {.reason =
                                        once::RefusalReason::kUpstreamGone}};
                  }));
            });
          },
      .cancel =
          [this](const std::string& request_id, uint64_t expected_incarnation) {
            this->guard.Cancel(request_id, expected_incarnation);
          },
      .resolve =
          [this](const std::string& request_id, uint64_t expected_incarnation) {
            return this->guard.Resolve(request_id, expected_incarnation);
          }};
}

// New work is directed to other hosts first, and the requests that run here
// finish. The caller port closes last, once its accept queue is empty, so that
// no connection is lost. Whoever stops this host kills it at the end of the
// grace, so all that is in progress then gets a response before.
void Daemon::Leave() {
  const membership::StopSchedule schedule =
      membership::MakeStopSchedule(this->settings.stop, MonotonicNow());
  this->stop_schedule.Publish(schedule);
  this->recorder.Record({.kind = "host_leaving", .zone = this->settings.zone});
  this->leaving = true;
  this->guard.BeginDrain();
  this->caller_server.BeginShutdown();
  this->workers.Spawn([this] {
    this->PublishOwn();
    this->loan_loop.Leave();
    this->gossip_loop.SpreadNow();
  });
  std::this_thread::sleep_for(schedule.accept_until - MonotonicNow());
  this->caller_server.StopAccepting();
  // Until then, a connection without a request in progress may receive one.
  std::this_thread::sleep_for(schedule.refuse_from - MonotonicNow());
  this->WaitUntilIdle(schedule.respond_by);
  this->guard.EndRuns();
  this->WaitUntilIdle(schedule.exit_by);
  this->recorder.Record(
      {.kind = "host_stopped",
       .zone = this->settings.zone,
       .detail = absl::StrCat(
           "requests without a response: ", this->caller_server.InFlight(),
           ", runs: ", this->guard.InFlight())});
  // The RPC thread sends the responses to peers and needs some time for the
  // last of them after the guard has no request in flight.
  std::this_thread::sleep_for(
      std::min(kLastResultsTime, schedule.exit_by - MonotonicNow()));
}

void Daemon::WaitUntilIdle(Instant until) const {
  while (MonotonicNow() < until &&
         (this->caller_server.ActiveAcceptLoops() > 0 ||
          this->caller_server.InFlight() > 0 || this->guard.InFlight() > 0)) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
}

}  // namespace kingcupstair
