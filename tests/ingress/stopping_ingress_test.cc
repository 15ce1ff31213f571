#include <CppUTest/TestHarness.h>

#include <future>

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
    "route GET /lote service lote idempotent open deadline 10s"
    " # asked by: test\n";

/// An ingress with one upstream, on its own host, that accepts a connection and
/// never responds.
struct IngressAtHangingUpstream {
  IngressAtHangingUpstream() {
    auto built = config::Configuration::Build(1, kRules);
    this->configuration.Publish(std::get<config::Configuration>(built));
    this->guard.Announce({.id = "lote-1",
                          .service = "lote",
                          .endpoint = this->upstream.Address(),
                          .slots = 4});
    this->registry.Update({{.host = kHost,
                            .incarnation = kIncarnation,
                            .version = 1,
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

  /// Tells the host to stop at once, with `grace` until it is killed.
  void Stop(Duration grace) {
    this->stop_schedule.Publish(
        membership::MakeStopSchedule({.grace = grace}, MonotonicNow()));
  }

  RawServer upstream{{{.text = "", .hold_open = true}}};
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
                   .permits = {.try_retry = [](const auto&) { return false; }}},
                  this->configuration,
                  this->stop_schedule,
                  this->registry,
                  this->runner,
                  this->crashes,
                  this->recorder};
};

TEST_GROUP(StoppingIngress) {
  /// Never destroyed: its upstream holds a connection open.
  IngressAtHangingUpstream& site = *new IngressAtHangingUpstream;
};

// A host that was stopped waited for an upstream until it was killed, and the
// caller got no response.
TEST(StoppingIngress, ARequestAtAHangingUpstreamGetsAResponseBeforeTheKill) {
  auto response = this->site.Send();
  CHECK(response.wait_for(std::chrono::milliseconds(200)) ==
        std::future_status::timeout);
  this->site.Stop(Millis(1'000));
  CHECK(response.wait_for(std::chrono::milliseconds(1'000)) ==
        std::future_status::ready);
  const http::Response unknown = response.get();
  LONGS_EQUAL(504, unknown.status);
  STRCMP_CONTAINS("unknown", unknown.body.c_str());
}

TEST(StoppingIngress, ARequestThatComesAfterTheLastOnesIsRefusedAsNotRun) {
  this->site.stop_schedule.Publish(
      membership::StopSchedule{.refuse_from = MonotonicNow()});
  const http::Response refusal = this->site.Send().get();
  LONGS_EQUAL(503, refusal.status);
  STRCMP_CONTAINS("host_stopping", refusal.body.c_str());
  CHECK_FALSE(http::FindHeader(refusal.headers, "Retry-After").empty());
}

// A stopped host ended, and hosts that waited for its runs heard nothing.
TEST(StoppingIngress, RunsOfAStoppingHostEndWithAnUnknownOutcome) {
  auto response = this->site.Send();
  CHECK(response.wait_for(std::chrono::milliseconds(200)) ==
        std::future_status::timeout);
  this->site.guard.EndRuns();
  CHECK(response.wait_for(std::chrono::milliseconds(500)) ==
        std::future_status::ready);
  STRCMP_CONTAINS("the host of the upstream stopped",
                  response.get().body.c_str());
  LONGS_EQUAL(0, this->site.guard.InFlight());
}

}  // namespace
}  // namespace kingcupstair::ingress
