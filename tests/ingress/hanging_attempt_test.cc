#include <CppUTest/TestHarness.h>

#include <future>
#include <thread>

#include "components/fibers/worker_pool.h"
#include "components/ingress/ingress.h"
#include "tests/http/raw_server.h"
#include "tests/support/times.h"

namespace kingcupstair::ingress {
namespace {

constexpr char kHost[] = "127.0.0.1:1";
constexpr uint64_t kIncarnation = 1;
constexpr char kRules[] =
    "service lote slots 4 # asked by: test\n"
    "route GET /lote service lote idempotent open deadline 6s objective 400ms"
    " # asked by: test\n";
/// Longer than a hedge, its response and the interval between two hedges take.
constexpr Duration kHedgePeriod{std::chrono::milliseconds(700)};

/// An ingress whose upstreams, on its own host, start one by one. The first of
/// them never responds.
struct IngressWithHangingAttempt {
  IngressWithHangingAttempt() {
    auto built = config::Configuration::Build(1, kRules);
    this->configuration.Publish(std::get<config::Configuration>(built));
    this->Start({.text = "", .hold_open = true});
  }

  /// Starts an upstream that gives `reply` to its first request.
  void Start(const RawServer::Reply& reply) {
    const size_t number = ++this->started;
    // Never destroyed: an upstream may hold a connection open.
    auto* upstream = new RawServer({reply});
    this->guard.Announce({.id = "lote-" + std::to_string(number),
                          .service = "lote",
                          .endpoint = upstream->Address(),
                          .slots = 4});
    this->registry.Update({{.host = kHost,
                            .incarnation = kIncarnation,
                            .version = number,
                            .upstreams = this->guard.Upstreams()}},
                          *this->configuration.Read(), MonotonicNow());
  }

  std::future<http::Response> Send() {
    auto response = std::make_shared<std::promise<http::Response>>();
    this->workers.Spawn([this, response] {
      response->set_value(
          this->ingress.Handle({.method = "GET", .target = "/lote/1"},
                               std::make_shared<Cancellation>()));
    });
    return response->get_future();
  }

  size_t started = 0;
  fibers::WorkerPool workers{1};
  rpc::EventLoop loop;
  Snapshot<config::Configuration> configuration;
  Snapshot<membership::StopSchedule> stop_schedule;
  guard::SharedCrashLedger crashes;
  events::Recorder recorder{{.revision = [] { return 1; }}};
  guard::Guard guard{{.incarnation = [] { return kIncarnation; },
                      .isolated = [] { return false; }},
                     this->configuration,
                     this->crashes,
                     this->recorder};
  UpstreamRegistry registry{{}};
  rpc::PeerClients peers{this->loop,
                         {.own_host = kHost, .incarnation = kIncarnation}};
  AttemptRunner runner{{.own_host = kHost},
                       this->guard,
                       this->peers,
                       this->registry,
                       this->recorder};
  Ingress ingress{{.isolated = [] { return false; },
                   .permits = {.try_retry = [](const auto&) { return true; }}},
                  this->configuration,
                  this->stop_schedule,
                  this->registry,
                  this->runner,
                  this->crashes,
                  this->recorder};
};

TEST_GROUP(HangingAttempt) {
  /// Never destroyed: its attempts may outlive the test.
  IngressWithHangingAttempt& site = *new IngressWithHangingAttempt;
};

// A request waited for its hanging attempt until its deadline when its hedge
// had failed, although it had further attempts.
TEST(HangingAttempt, AnotherHedgeFollowsOneThatFails) {
  auto response = this->site.Send();
  this->site.Start({.text = "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"});
  std::this_thread::sleep_for(kHedgePeriod);
  this->site.Start({.text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"});
  CHECK(response.wait_for(kHedgePeriod) == std::future_status::ready);
  LONGS_EQUAL(200, response.get().status);
}

// A request that may crash upstreams is not sent to more of them while one of
// its attempts hangs.
TEST(HangingAttempt, NoHedgeFollowsTwoBrokenConnections) {
  auto response = this->site.Send();
  this->site.Start({.text = ""});
  std::this_thread::sleep_for(kHedgePeriod);
  this->site.Start({.text = ""});
  std::this_thread::sleep_for(kHedgePeriod);
  this->site.Start({.text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"});
  CHECK(response.wait_for(kHedgePeriod * 2) == std::future_status::timeout);
}

}  // namespace
}  // namespace kingcupstair::ingress
