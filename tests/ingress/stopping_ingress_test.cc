#include <CppUTest/TestHarness.h>

#include <unistd.h>

#include <future>

#include "absl/strings/str_cat.h"
#include "components/base/hash.h"
#include "components/fibers/worker_pool.h"
#include "components/ingress/ingress.h"
#include "tests/http/listener.h"
#include "tests/http/raw_server.h"
#include "tests/support/times.h"

namespace kingcupstair::ingress {
namespace {

constexpr char kHost[] = "127.0.0.1:1";
constexpr uint64_t kIncarnation = 1;
constexpr char kRules[] =
    "service lote slots 4 # asked by: test\n"
    "route GET /lote service lote idempotent open deadline 10s"
    " # asked by: test\n"
    "service cabo slots 4 # asked by: test\n"
    "route GET /cabo service cabo idempotent open deadline 10s"
    " # asked by: test\n"
    "route GET /keyed service lote idempotent keyed deadline 10s"
    " # asked by: test\n"
    "route GET /inner service lote idempotent internal deadline 10s"
    " objective 1s # asked by: test\n"
    "organisation growers rate 100 burst 100 key sha256:";
constexpr char kKey[] = "grower-key";

/// An ingress with one upstream, on its own host, that accepts a connection and
/// never responds.
struct IngressAtHangingUpstream {
  IngressAtHangingUpstream() {
    auto built = config::Configuration::Build(
        1, absl::StrCat(kRules, Sha256Hex(kKey), " # asked by: test\n"));
    this->configuration.Publish(std::get<config::Configuration>(built));
    this->guard.Announce({.id = "lote-1",
                          .service = "lote",
                          .endpoint = this->upstream.Address(),
                          .slots = 4});
    membership::UpstreamRecord remote = this->guard.Upstreams().front();
    remote.id = "cabo-1";
    remote.service = "cabo";
    this->registry.Update({{.host = kHost,
                            .incarnation = kIncarnation,
                            .version = 1,
                            .upstreams = this->guard.Upstreams()},
                           {.host = ToText(this->silent_host.endpoint),
                            .incarnation = kIncarnation,
                            .version = 1,
                            .upstreams = {remote}}},
                          *this->configuration.Read(), MonotonicNow());
    this->workers.Spawn([this] {
      while (true) {
        this->guard.Tick();
        fibers::SleepFor(Millis(10));
      }
    });
  }

  std::future<http::Response> Send(const std::string& target = "/lote/1") {
    auto response = std::make_shared<std::promise<http::Response>>();
    this->workers.Spawn([this, response, target] {
      response->set_value(this->ingress.Handle(
          {.method = "GET",
           .target = target,
           .headers = {{.name = "X-Api-Key", .value = kKey}}},
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
  /// A host that is connected to and never replies.
  Listener silent_host = ListenOnLoopback(8);
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
  Ingress ingress{
      {.isolated = [] { return false; },
       .permits = {.acquire =
                       [](const auto&, const auto&) {
                         return limits::PermitGrant{.has_no_loans = true};
                       },
                   .try_retry = [](const auto&) { return false; },
                   .respond_by =
                       [this] {
                         return this->stop_schedule.Read()->respond_by;
                       }},
       .repeat_probability_of_call = [](const auto&) { return 0; }},
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
  STRCMP_CONTAINS("unknown", unknown.body.text().c_str());
}

TEST(StoppingIngress, ARequestThatComesAfterTheLastOnesIsRefusedAsNotRun) {
  this->site.stop_schedule.Publish(
      membership::StopSchedule{.refuse_from = MonotonicNow()});
  const http::Response refusal = this->site.Send().get();
  LONGS_EQUAL(503, refusal.status);
  STRCMP_CONTAINS("host_stopping", refusal.body.text().c_str());
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
                  response.get().body.text().c_str());
  LONGS_EQUAL(0, this->site.guard.InFlight());
}

// A request that waited for a permit while the pools moved was still waiting
// when its host was killed.
TEST(StoppingIngress, ARequestWithoutAPermitGetsAResponseBeforeTheKill) {
  auto response = this->site.Send("/keyed/1");
  this->site.Stop(Millis(1'000));
  CHECK(response.wait_for(std::chrono::milliseconds(1'000)) ==
        std::future_status::ready);
}

// A request that asked for a slot on a silent path had no response when its
// host ended.
TEST(StoppingIngress, ARequestAtASilentHostGetsAResponseBeforeTheEnd) {
  const Instant now = MonotonicNow();
  // The last moments of a grace of 6 s.
  this->site.stop_schedule.Publish(membership::StopSchedule{
      .respond_by = now + Millis(20), .exit_by = now + Millis(270)});
  auto response = this->site.Send("/cabo/1");
  CHECK(response.wait_for(std::chrono::milliseconds(270)) ==
        std::future_status::ready);
}

TEST(StoppingIngress, AQueuedRequestGetsAResponseBeforeTheKill) {
  std::vector<std::future<http::Response>> responses;
  for (int i = 0; i < 6; ++i) {
    responses.push_back(this->site.Send());
  }
  this->site.Stop(Millis(1'000));
  usleep(400'000);
  for (int i = 0; i < 2; ++i) {
    responses.push_back(this->site.Send());
  }
  const Instant end = MonotonicNow() + Millis(600);
  for (auto& response : responses) {
    CHECK(response.wait_for(end - MonotonicNow()) == std::future_status::ready);
  }
}

// An internal request may wait in a queue to its deadline. On a host that is
// not stopping it was refused after the grace.
TEST(StoppingIngress, AnInternalRequestOfAHostThatIsNotStoppingWaitsOn) {
  std::vector<std::future<http::Response>> responses;
  for (int i = 0; i < 6; ++i) {
    responses.push_back(this->site.Send());
  }
  usleep(100'000);
  auto internal = this->site.Send("/inner/1");
  CHECK(internal.wait_for(std::chrono::milliseconds(1'500)) ==
        std::future_status::timeout);
}

}  // namespace
}  // namespace kingcupstair::ingress
