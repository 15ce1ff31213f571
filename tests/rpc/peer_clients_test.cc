#include "components/rpc/peer_clients.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <future>
#include <thread>
#include <vector>

#include "apps/relay_standin/relay.h"
#include "components/fibers/worker_pool.h"
#include "components/rpc/peer_server.h"
#include "tests/support/times.h"

namespace kingcupstair::rpc {
namespace {

constexpr uint16_t kServerPort = 18'471;
constexpr uint16_t kRunServerPort = 18'472;
constexpr uint16_t kRelayPort = 18'473;

/// Listening socket whose backlog is full. A connection attempt hangs until
/// `AcceptPending` and then succeeds when the kernel retransmits its SYN.
class FullBacklogListener {
 public:
  FullBacklogListener()
      : listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    this->address.sin_family = AF_INET;
    this->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(this->address);
    auto* sockaddr_view = reinterpret_cast<sockaddr*>(&this->address);
    CHECK(bind(this->listener, sockaddr_view, size) == 0);
    CHECK(listen(this->listener, 0) == 0);
    getsockname(this->listener, sockaddr_view, &size);
    for (int i = 0; i < kFillers; ++i) {
      const int filler =
          socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      static_cast<void>(connect(filler, sockaddr_view, size));
      this->sockets.push_back(filler);
    }
  }

  ~FullBacklogListener() {
    for (const int fd : this->sockets) {
      close(fd);
    }
    close(this->listener);
  }

  void AcceptPending() {
    for (int i = 0; i < kFillers; ++i) {
      this->sockets.push_back(accept(this->listener, nullptr, nullptr));
    }
  }

  std::string HostName() const {
    return "127.0.0.1:" + std::to_string(ntohs(this->address.sin_port));
  }

 private:
  static constexpr int kFillers = 1;

  int listener;
  sockaddr_in address{};
  std::vector<int> sockets;
};

/// A peer that accepts every run and ends none by itself, behind a relay. Made
/// once, since loops and workers run until the process ends.
class RunPeer {
 public:
  static RunPeer& Get() {
    static auto* peer = new RunPeer;
    return *peer;
  }

  /// Submits a run that waits for its result for `result_timeout`, and returns
  /// once its acceptance has arrived.
  std::future<SubmitResult> Submit(Duration result_timeout,
                                   const std::string& body = "") {
    auto result = std::make_shared<std::promise<SubmitResult>>();
    auto future = result->get_future();
    this->accepted = std::promise<RunDone>();
    this->workers.Spawn([this, result, result_timeout, body] {
      result->set_value(this->clients.Submit(this->name,
                                             {.request = {.body = body}},
                                             Millis(1'000), result_timeout));
    });
    this->done = this->accepted.get_future().get();
    // Responses arrive in order, and so that of the acceptance has arrived.
    CHECK(this->IsReached());
    return future;
  }

  /// Ends the accepted run.
  void EndRun() {
    this->done({.outcome = once::Ran{.response = {.status = kStatus}}});
  }

  /// Silences the connections that are open now.
  void SilenceConnections() {
    std::promise<void> silenced;
    this->relay_worker.Spawn([&] {
      this->relay.HandleControl(
          {.target = "/faults", .body = R"({"silence_open":true})"});
      silenced.set_value();
    });
    silenced.get_future().get();
  }

  /// Returns true if a call to the peer gets its response.
  bool IsReached() {
    std::promise<bool> reached;
    this->workers.Spawn([&] {
      reached.set_value(this->clients.Head(this->name, Millis(1'000)).ok());
    });
    return reached.get_future().get();
  }

  EventLoop server_loop;
  EventLoop client_loop;
  metrics::Counters sent_by_server;
  metrics::Counters sent_by_client;

 private:
  static constexpr int kStatus = 200;
  static constexpr char kKey[] = "a key for this test";

  RunPeer()
      : relay({.listen = {.address = "127.0.0.1", .port = kRelayPort},
               .server = {.address = "127.0.0.1", .port = kRunServerPort}}),
        server(
            this->server_loop,
            {.listen = {.address = "127.0.0.1", .port = kRunServerPort},
             .fleet_key = kKey,
             .traffic = &this->server_traffic},
            {.head = [] { return std::string("head"); },
             .chunks = [](const auto&) { return std::vector<std::string>(); },
             .submit =
                 [this](const once::RunRequest&, RunDone run_done) {
                   this->accepted.set_value(std::move(run_done));
                 }}),
        clients(this->client_loop,
                {.own_host = "127.0.0.1:1",
                 .incarnation = 1,
                 .fleet_key = kKey,
                 .traffic = &this->client_traffic}) {
    CHECK(this->server.Start().ok());
    this->relay_worker.Spawn([this] { this->relay.Run(); });
    // The relay may not listen yet.
    while (!this->IsReached()) {
      std::this_thread::sleep_for(Millis(10));
    }
  }

  const std::string name = "127.0.0.1:" + std::to_string(kRelayPort);
  fibers::WorkerPool workers{1};
  fibers::WorkerPool relay_worker{1};
  Relay relay;
  std::promise<RunDone> accepted;
  RunDone done;
  TrafficCounters server_traffic{
      this->sent_by_server, [](const auto&) { return ZoneRelation::kOwnZone; }};
  TrafficCounters client_traffic{this->sent_by_client, [](const auto&) {
                                   return ZoneRelation::kOtherZone;
                                 }};
  PeerServer server;
  PeerClients clients;
};

/// Keeps the thread of `loop` busy, as if the process got no processor time.
void Starve(EventLoop& loop, Duration duration) {
  loop.Post([duration] { std::this_thread::sleep_for(duration); });
}

TEST_GROUP(PeerClients){};

// Guards against a run whose response waits for its caller's whole patience
// although its connection is silent and a new one would bring the response.
TEST(PeerClients, SilenceEndsTheWaitForAResult) {
  RunPeer& peer = RunPeer::Get();
  const Instant start = MonotonicNow();
  auto result = peer.Submit(Millis(8'000));
  peer.SilenceConnections();
  peer.EndRun();
  const SubmitResult submitted = result.get();
  CHECK_FALSE(submitted.ok());
  CHECK(submitted.stage == SubmitStage::kNoResult);
  CHECK(MonotonicNow() - start < Millis(3'500));
  CHECK(peer.IsReached());
}

// Guards against bytes between zones that no counter shows, and against runs
// and replies that are counted under another purpose or zone.
TEST(PeerClients, BytesOfRequestsAndRepliesAreCounted) {
  constexpr int kBodyBytes = 5'000;
  RunPeer& peer = RunPeer::Get();
  const auto sent = [&](const metrics::Counters& counters, const char* zone) {
    return static_cast<int>(counters.Value("kingcupstair_peer_bytes_total",
                                           {{.name = "purpose", .value = "run"},
                                            {.name = "zone", .value = zone}}));
  };
  const int requests_before = sent(peer.sent_by_client, "other");
  const int replies_before = sent(peer.sent_by_server, "own");
  auto result = peer.Submit(Millis(8'000), std::string(kBodyBytes, 'x'));
  peer.EndRun();
  CHECK(result.get().ok());
  const int requests = sent(peer.sent_by_client, "other") - requests_before;
  const int replies = sent(peer.sent_by_server, "own") - replies_before;
  CHECK(requests >= kBodyBytes && requests < kBodyBytes + 500);
  CHECK(replies > 0 && replies < 500);
  LONGS_EQUAL(0, sent(peer.sent_by_client, "own"));
}

// Guards against a long run on a connection without other calls that counts as
// silence.
TEST(PeerClients, LongRunIsNoSilence) {
  RunPeer& peer = RunPeer::Get();
  auto result = peer.Submit(Millis(8'000));
  std::this_thread::sleep_for(Millis(4'000));
  peer.EndRun();
  CHECK(result.get().ok());
}

// Guards against late wake-ups of either process that count as silence.
TEST(PeerClients, LateWakeUpIsNoSilence) {
  RunPeer& peer = RunPeer::Get();
  auto result = peer.Submit(Millis(12'000));
  Starve(peer.server_loop, Millis(800));
  std::this_thread::sleep_for(Millis(1'500));
  Starve(peer.client_loop, Millis(3'000));
  std::this_thread::sleep_for(Millis(3'500));
  Starve(peer.client_loop, Millis(400));
  Starve(peer.server_loop, Millis(800));
  std::this_thread::sleep_for(Millis(1'500));
  peer.EndRun();
  CHECK(result.get().ok());
}

// Guards against use of a destroyed link: a call with a shorter timeout had
// destroyed the link while its connection was still opening, and a call with a
// longer timeout used the connection when it opened.
TEST(PeerClients, CallFailsWhenItsLinkIsDestroyedBeforeItOpens) {
  static auto* workers = new fibers::WorkerPool(1);
  static auto* loop = new EventLoop;
  static auto* peers =
      new PeerClients(*loop, {.own_host = "127.0.0.1:1",
                              .incarnation = 1,
                              .fleet_key = "a key for this test"});
  FullBacklogListener port;
  std::promise<absl::Status> short_call;
  std::promise<absl::Status> long_call;
  workers->Spawn([&] {
    long_call.set_value(peers->Head(port.HostName(), Millis(6'000)).status());
  });
  // A timeout destroys a link that has brought no response for a second.
  workers->Spawn([&] {
    short_call.set_value(peers->Head(port.HostName(), Millis(1'200)).status());
  });
  CHECK_FALSE(short_call.get_future().get().ok());
  port.AcceptPending();
  const absl::Status status = long_call.get_future().get();
  CHECK_FALSE(status.ok());
  CHECK(status.message().find("given up before it was open") !=
        absl::string_view::npos);
}

// Guards against a timeout of one call that closes the connection for all other
// calls: on a path that loses packets, hardly any call got a response.
TEST(PeerClients, TimeoutOfOneCallKeepsTheConnectionForOthers) {
  static auto* workers = new fibers::WorkerPool(2);
  static auto* loop = new EventLoop;
  constexpr char kKey[] = "a key for this test";
  static std::promise<std::function<void(bool)>> slow_probe;
  static std::vector<std::function<void(bool)>> unanswered_probes;
  static auto* server = new PeerServer(
      *loop,
      {.listen = {.address = "127.0.0.1", .port = kServerPort},
       .fleet_key = kKey},
      {.probe = [](const std::string& host, std::function<void(bool)> done) {
        if (host == "slow") {
          slow_probe.set_value(std::move(done));
        } else {
          unanswered_probes.push_back(std::move(done));
        }
      }});
  CHECK(server->Start().ok());
  static auto* peers = new PeerClients(
      *loop, {.own_host = "127.0.0.1:1", .incarnation = 1, .fleet_key = kKey});
  const std::string name = "127.0.0.1:" + std::to_string(kServerPort);
  std::promise<bool> long_call;
  workers->Spawn([&] {
    long_call.set_value(peers->Probe(name, "slow", Millis(5'000)).ok());
  });
  auto finish_slow_probe = slow_probe.get_future().get();
  std::promise<bool> short_call;
  workers->Spawn([&] {
    short_call.set_value(peers->Probe(name, "never", Millis(100)).ok());
  });
  CHECK_FALSE(short_call.get_future().get());
  finish_slow_probe(true);
  CHECK(long_call.get_future().get());
}

// Guards against a server that goes on with a call whose sender has given up.
TEST(PeerClients, AServerLearnsThatAReservationIsWaitedForNoMore) {
  static auto* workers = new fibers::WorkerPool(1);
  static auto* loop = new EventLoop;
  constexpr char kKey[] = "a key for this test";
  constexpr uint16_t kPort = kServerPort + 8;
  static std::promise<void> given_up;
  static auto* answered = new Cancellation;
  static std::function<void(SlotAnswer)> unanswered;
  static auto* server = new PeerServer(
      *loop,
      {.listen = {.address = "127.0.0.1", .port = kPort}, .fleet_key = kKey},
      {.reserve = [](const once::SlotRequest& request,
                     const CancellationPtr& abandoned,
                     const std::function<void(SlotAnswer)>& done) {
        if (request.request_id == "slow") {
          abandoned->OnCancel([] { given_up.set_value(); });
          unanswered = done;
        } else {
          abandoned->OnCancel([] { answered->Cancel(); });
          done({.granted = true});
        }
      }});
  CHECK(server->Start().ok());
  static auto* peers = new PeerClients(
      *loop, {.own_host = "127.0.0.1:1", .incarnation = 1, .fleet_key = kKey});
  const std::string name = "127.0.0.1:" + std::to_string(kPort);
  const auto reserve = [&](const char* id, Duration timeout) {
    std::promise<bool> granted;
    workers->Spawn([&] {
      const auto answer = peers->Reserve(name, {.request_id = id}, timeout);
      granted.set_value(answer.ok() && answer->granted);
    });
    return granted.get_future().get();
  };
  CHECK(reserve("quick", Millis(3'000)));
  CHECK_FALSE(reserve("slow", Millis(100)));
  CHECK(given_up.get_future().wait_for(std::chrono::seconds(2)) ==
        std::future_status::ready);
  CHECK_FALSE(answered->IsCancelled());
}

// The departures of a record travel among its upstreams, which older hosts
// know.
TEST(PeerClients, ARecordKeepsItsDepartures) {
  static auto* workers = new fibers::WorkerPool(1);
  static auto* loop = new EventLoop;
  constexpr char kKey[] = "a key for this test";
  constexpr uint16_t kPort = kServerPort + 3;
  membership::HostUpdate update{
      .record = {.host = "a",
                 .incarnation = 5,
                 .version = 1,
                 .upstreams = {{.id = "lote-2", .service = "lote"}},
                 .departures = {"lote-1/1", "lote-1/2"}}};
  static auto* server = new PeerServer(
      *loop,
      {.listen = {.address = "127.0.0.1", .port = kPort}, .fleet_key = kKey},
      {.sync = [update](const auto&) {
        return SyncAnswer{.updates = {update}};
      }});
  CHECK(server->Start().ok());
  static auto* peers = new PeerClients(
      *loop, {.own_host = "127.0.0.1:1", .incarnation = 1, .fleet_key = kKey});
  std::promise<absl::StatusOr<SyncAnswer>> answer;
  workers->Spawn([&] {
    answer.set_value(
        peers->Sync("127.0.0.1:" + std::to_string(kPort), {}, Millis(3'000)));
  });
  const auto received = answer.get_future().get();
  CHECK(received.ok());
  CHECK(received->updates == std::vector{update});
}

}  // namespace
}  // namespace kingcupstair::rpc
