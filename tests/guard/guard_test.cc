#include "components/guard/guard.h"

#include <CppUTest/TestHarness.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/fiber/fiber.hpp>

#include <future>
#include <thread>

#include "components/fibers/worker_pool.h"
#include "components/guard/upstream_call.h"
#include "components/ingress/caller_response.h"
#include "tests/http/listener.h"
#include "tests/http/raw_server.h"
#include "tests/support/times.h"

namespace kingcupstair::guard {
namespace {

constexpr uint64_t kIncarnation = 1;
constexpr once::Fingerprint kFingerprint = 7;

TEST_GROUP(Guard) {
  Snapshot<config::Configuration> configuration;
  SharedCrashLedger crashes;
  events::Recorder recorder{{.revision = [] { return 1; }}};
  bool departures_known = true;
  int departures_told = 0;
  int waits_for_evidence = 0;
  Guard guard{
      {.incarnation = [] { return kIncarnation; },
       .isolated = [] { return false; },
       .departures_known = [this] { return this->departures_known; },
       .on_departure = [this](const std::string&) { ++this->departures_told; },
       .keep_evidence =
           [this](once::Fingerprint) { ++this->waits_for_evidence; }},
      this->configuration,
      this->crashes,
      this->recorder};

  void setup() override {
    this->guard.Announce({.id = "lote-1", .service = "lote", .slots = 1});
  }

  void ReserveSlot(const char* request_id) {
    const auto answer = this->guard.Reserve({.request_id = request_id,
                                             .incarnation = kIncarnation,
                                             .upstream = "lote-1",
                                             .remaining_time = Millis(1'000)});
    CHECK(answer.granted);
  }

  AcceptAnswer Accept(const char* request_id) {
    return this->guard.Accept({.request_id = request_id,
                               .incarnation = kIncarnation,
                               .upstream = "lote-1",
                               .fingerprint = kFingerprint,
                               .remaining_time = Millis(1'000)});
  }

  /// Runs a request at lote-2.
  once::Outcome Run(fibers::WorkerPool & workers,
                    const std::string& request_id) {
    const auto slot = this->guard.Reserve({.request_id = request_id,
                                           .incarnation = kIncarnation,
                                           .upstream = "lote-2",
                                           .remaining_time = Millis(1'000)});
    CHECK(slot.granted);
    const AcceptAnswer accepted =
        this->guard.Accept({.request_id = request_id,
                            .incarnation = kIncarnation,
                            .upstream = "lote-2",
                            .fingerprint = kFingerprint,
                            .idempotent = true,
                            .remaining_time = Millis(50)});
    CHECK(std::holds_alternative<AcceptedRun>(accepted));
    std::promise<rpc::RunResult> ended;
    workers.Spawn([&] {
      ended.set_value(this->guard.Run(std::get<AcceptedRun>(accepted)));
    });
    return ended.get_future().get().outcome;
  }

  /// The first announcement of a start of lote-2.
  static Announcement StartAt(uint64_t started_at) {
    return {.id = "lote-2",
            .service = "lote",
            .endpoint = {.port = 2},
            .incarnation = "@" + std::to_string(started_at),
            .started_at = started_at,
            .sequence = 1};
  }

  void AddCrash(const char* upstream) {
    this->crashes.Add({.fingerprint = kFingerprint, .upstream = upstream}, {},
                      MonotonicNow());
  }
};

TEST(Guard, ARequestThatIsFoundToCrashUpstreamsWhileItWaitsIsRefused) {
  this->ReserveSlot("a");
  this->AddCrash("lote-2");
  this->AddCrash("lote-3");
  const AcceptAnswer answer = this->Accept("a");
  const auto* result = std::get_if<rpc::RunResult>(&answer);
  CHECK(result != nullptr);
  const auto* refusal = std::get_if<once::NotRun>(&result->outcome);
  CHECK(refusal != nullptr);
  CHECK(refusal->reason == once::RefusalReason::kCrashesUpstreams);
  CHECK(refusal->retry_after > Duration{});
  // The only slot is free again.
  this->ReserveSlot("b");
}

TEST(Guard, ARequestUnderWhichOneUpstreamCrashedIsAccepted) {
  this->ReserveSlot("a");
  this->AddCrash("lote-2");
  CHECK(std::holds_alternative<AcceptedRun>(this->Accept("a")));
}

// Crashes of two starts counted once, so a service with one upstream that keeps
// its id was not protected.
TEST(Guard, CrashesOfTwoStartsOfAnUpstreamUnderOneIdCountTwice) {
  const Listener upstream = ListenOnLoopback(1);
  static auto* workers = new fibers::WorkerPool(1);
  Announcement announcement{.id = "lote-2",
                            .service = "lote",
                            .endpoint = upstream.endpoint,
                            .slots = 1};
  for (const char* start : {"@1", "@2"}) {
    announcement.incarnation = start;
    this->guard.Announce(announcement);
    CHECK(std::holds_alternative<once::Unknown>(this->Run(*workers, start)));
  }
  announcement.incarnation = "@3";
  this->guard.Announce(announcement);
  LONGS_EQUAL(2, this->crashes.CountCrashes(kFingerprint, MonotonicNow()));
  // The next attempt comes when the evidence is in the store.
  LONGS_EQUAL(2, this->waits_for_evidence);
  CHECK_FALSE(this->crashes.IsKept(kFingerprint));
  close(upstream.socket);
}

// An upstream whose responses say that it leaves got requests until it
// announced that, too.
TEST(Guard, AnUpstreamWhoseResponseSaysThatItLeavesIsNotUsed) {
  const RawServer upstream({{.text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                                     "Kingcupstair-Leaving: 1\r\n\r\n"}});
  static auto* workers = new fibers::WorkerPool(1);
  this->guard.Announce({.id = "lote-2",
                        .service = "lote",
                        .endpoint = upstream.Address(),
                        .slots = 1});
  CHECK(std::holds_alternative<once::Ran>(this->Run(*workers, "a")));
  LONGS_EQUAL(1, this->guard.Upstreams().size());
  CHECK(this->guard.KnownDepartures() == std::vector<std::string>{"lote-2/"});
  LONGS_EQUAL(1, this->departures_told);
  CHECK_FALSE(this->guard
                  .Reserve({.request_id = "b",
                            .incarnation = kIncarnation,
                            .upstream = "lote-2",
                            .remaining_time = Millis(1'000)})
                  .granted);
}

// A status from 600 on reached the caller, and counted as an error of the
// upstream only since it is not below 500. One below 100 was waited out.
TEST(Guard, AResponseWithAnInvalidStatusIsAnUnknownOutcome) {
  static auto* workers = new fibers::WorkerPool(1);
  for (const std::string status : {"099", "600"}) {
    const RawServer upstream(
        {{.text = "HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\n\r\n",
          .hold_open = true}});
    this->guard.Announce({.id = "lote-2",
                          .service = "lote",
                          .endpoint = upstream.Address(),
                          .incarnation = status,
                          .slots = 1});
    const once::Outcome outcome = this->Run(*workers, status);
    CHECK(BrokeConnection(outcome));
    CHECK(DetectorResultOf(outcome) == health::RequestResult::kFailure);
    LONGS_EQUAL(502, ingress::MakeResponse(outcome, {}).status);
  }
}

// The last response of a start that left came after the next start under its id
// had announced itself, which was then taken for departed.
// The connection of a check was kept for requests, and a late copy of the
// answer to the check was taken for that to an order, which then ran twice.
TEST(Guard, AnAnswerToACheckIsNotTakenForThatToARequest) {
  static auto* workers = new fibers::WorkerPool(1);
  const std::string refusal =
      "HTTP/1.1 400 Bad Request\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  const RawServer server(
      {{.text = refusal, .next = refusal},
       {.text = refusal, .next = refusal},
       {.text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}});
  const UpstreamTarget target{
      .endpoint = server.Address(),
      .header_names = std::make_shared<const HeaderNames>(
          HeaderNames{.not_run = "X-Not-Run"})};
  std::promise<once::Outcome> ended;
  workers->Spawn([&] {
    AcceptsConnections(target.endpoint);
    ended.set_value(CallUpstream(target, {.idempotent = true},
                                 MonotonicNow() + Millis(500), {})
                        .outcome);
  });
  CHECK(std::holds_alternative<once::Ran>(ended.get_future().get()));
}

TEST(Guard, AResponseOfTheLastStartSaysNothingAboutTheNext) {
  const Listener upstream = ListenOnLoopback(1);
  static auto* workers = new fibers::WorkerPool(1);
  Announcement announcement{.id = "lote-2",
                            .service = "lote",
                            .endpoint = upstream.endpoint,
                            .incarnation = "@1",
                            .slots = 1};
  this->guard.Announce(announcement);
  std::thread server([&] {
    const int connection = accept(upstream.socket, nullptr, nullptr);
    char buffer[1024];
    CHECK(recv(connection, buffer, sizeof(buffer), 0) > 0);
    announcement.incarnation = "@2";
    this->guard.Announce(announcement);
    const std::string response =
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
        "Kingcupstair-Leaving: 1\r\nKingcupstair-Rate-Limit: 1\r\n\r\n";
    CHECK(send(connection, response.data(), response.size(), 0) > 0);
    close(connection);
  });
  CHECK(std::holds_alternative<once::Ran>(this->Run(*workers, "a")));
  server.join();
  LONGS_EQUAL(2, this->guard.Upstreams().size());
  CHECK(this->guard.KnownDepartures().empty());
  for (const auto& record : this->guard.Upstreams()) {
    DOUBLES_EQUAL(0, record.named_rate, 0);
  }
  close(upstream.socket);
}

// The upstream of a host that restarts announces itself before the host has its
// configuration, and then had no warm-up limit for as long as the host ran.
TEST(Guard, AnUpstreamKnownBeforeItsServiceGetsTheWarmUpRate) {
  constexpr int kSlots = 50;
  constexpr int kWarmUpRate = 10;
  this->guard.Announce({.id = "lote-2",
                        .service = "lote",
                        .endpoint = {.port = 2},
                        .reports_cold_state = true,
                        .cold = true,
                        .slots = kSlots});
  const auto count_granted = [this](const std::string& prefix) {
    int granted = 0;
    for (int i = 0; i < kSlots; ++i) {
      const auto answer =
          this->guard.Reserve({.request_id = prefix + std::to_string(i),
                               .incarnation = kIncarnation,
                               .upstream = "lote-2",
                               .non_retryable = false,
                               .remaining_time = Millis(1'000)});
      granted += answer.granted ? 1 : 0;
    }
    return granted;
  };
  CHECK(count_granted("before") <= 1);
  auto built = config::Configuration::Build(
      1, "service lote slots 50 warmup-rate 10 # asked by: test\n");
  this->configuration.Publish(std::get<config::Configuration>(built));
  this->guard.Tick();
  const int granted = count_granted("after");
  CHECK(granted >= kWarmUpRate / 2);
  CHECK(granted <= kWarmUpRate);
}

// Load pattern: an upstream that has just joined is slow and was given many
// requests at once. It was busier than the others until they had ended, and got
// nothing for two seconds.
TEST(Guard, ASlowUpstreamStillGetsARequestNowAndThen) {
  this->guard.Announce({.id = "lote-2",
                        .service = "lote",
                        .endpoint = {.port = 2},
                        .reports_cold_state = true,
                        .slots = 10});
  auto built = config::Configuration::Build(
      1, "service lote slots 10 # asked by: test\n");
  this->configuration.Publish(std::get<config::Configuration>(built));
  this->guard.Tick();
  const auto reserve = [this](const char* request_id) {
    return this->guard
        .Reserve({.request_id = request_id,
                  .incarnation = kIncarnation,
                  .upstream = "lote-2",
                  .non_retryable = false,
                  .max_in_flight = 1,
                  .remaining_time = Millis(10'000)})
        .granted;
  };
  CHECK(reserve("a"));
  CHECK(reserve("b"));
  CHECK_FALSE(reserve("c"));
  std::this_thread::sleep_for(std::chrono::milliseconds(750));
  CHECK(reserve("d"));
  CHECK_FALSE(reserve("e"));
}

// A departed upstream was in use again after a restart of its host, when an
// earlier announcement of it arrived late.
TEST(Guard, AnUpstreamWhoseDepartureIsLearnedIsNotTakenUp) {
  const Announcement late{
      .id = "lote-2", .service = "lote", .endpoint = {.port = 2}};
  this->guard.LearnDepartures({"lote-2/"});
  this->guard.Announce(late);
  LONGS_EQUAL(1, this->guard.Upstreams().size());
  Announcement next_start = late;
  next_start.incarnation = "@2";
  this->guard.Announce(next_start);
  LONGS_EQUAL(2, this->guard.Upstreams().size());
}

// A departure whose name is not text, kept by a peer, ended each start of the
// host.
TEST(Guard, ALearnedDepartureThatIsNoNameIsIgnored) {
  this->guard.LearnDepartures(
      {"lote-\xff\xfe/@1", "/@1", "lote-1", "lote-2/@ 1", "lote-2/@1"});
  CHECK(std::vector<std::string>{"lote-2/@1"} == this->guard.KnownDepartures());
}

TEST(Guard, AnUpstreamInUseIsDrainedWhenItsDepartureIsLearned) {
  this->guard.LearnDepartures({"lote-1/"});
  CHECK(this->guard.Upstreams().empty());
}

TEST(Guard, NoUpstreamIsUsedBeforeDeparturesAreKnown) {
  this->departures_known = false;
  CHECK(this->guard.Upstreams().empty());
  CHECK_FALSE(this->guard
                  .Reserve({.request_id = "a",
                            .incarnation = kIncarnation,
                            .upstream = "lote-1",
                            .remaining_time = Millis(1'000)})
                  .granted);
  this->departures_known = true;
  LONGS_EQUAL(1, this->guard.Upstreams().size());
  this->ReserveSlot("a");
}

TEST(Guard, ADepartureHasOneNameAndIsFinalForItsStart) {
  Announcement leaving{.id = "lote-1", .service = "lote", .draining = true};
  const auto departure = this->guard.Announce(leaving);
  CHECK(departure.has_value());
  CHECK(departure == this->guard.Announce(leaving));
  CHECK(departure == this->guard.Withdraw("lote-1"));
  leaving.draining = false;
  CHECK_FALSE(this->guard.Announce(leaving).has_value());
  CHECK(this->guard.Upstreams().empty());
  CHECK(std::vector<std::string>{*departure} == this->guard.KnownDepartures());
}

// A departure of an upstream that its host did not know, as after a silence of
// the upstream, was acknowledged and not kept: a late announcement brought the
// upstream back.
TEST(Guard, AnUnknownUpstreamThatLeftIsNotBroughtBackByALateAnnouncement) {
  const auto left_at = static_cast<uint64_t>(WallClockMillis());
  const std::string departure = this->guard.Withdraw("lote-2");
  CHECK(std::vector<std::string>{departure} == this->guard.KnownDepartures());
  Announcement late{.id = "lote-2",
                    .service = "lote",
                    .endpoint = {.port = 2},
                    .incarnation = "@1",
                    .started_at = left_at - 1'000};
  this->guard.Announce(late);
  LONGS_EQUAL(1, this->guard.Upstreams().size());
  late.incarnation = "@2";
  late.started_at = left_at + 3'000;
  this->guard.Announce(late);
  LONGS_EQUAL(2, this->guard.Upstreams().size());
}

// A departure by id was kept for the start that was heard of last. It was that
// of a later one, whose announcement came late and brought it back.
TEST(Guard, AStartWhoseAnnouncementsComeAfterItHasLeftIsNotUsed) {
  const auto now = static_cast<uint64_t>(WallClockMillis());
  this->guard.Announce(StartAt(now - 10'000));
  LONGS_EQUAL(2, this->guard.Upstreams().size());
  this->guard.Withdraw("lote-2");
  LONGS_EQUAL(1, this->guard.Upstreams().size());
  this->guard.Announce(StartAt(now - 500));
  LONGS_EQUAL(1, this->guard.Upstreams().size());
}

// The same when the host starts again in between.
TEST(Guard, ADepartureByIdHoldsForAStartThatTheFormerProcessHadNotHeardOf) {
  const auto now = static_cast<uint64_t>(WallClockMillis());
  Departures kept;
  {
    Guard former{{.incarnation = [] { return kIncarnation; }},
                 this->configuration,
                 this->crashes,
                 this->recorder};
    former.Announce(StartAt(now - 10'000));
    kept.Add(former.Withdraw("lote-2"), MonotonicNow());
  }
  this->guard.LearnDepartures(kept.Names());
  this->guard.Announce(StartAt(now - 500));
  LONGS_EQUAL(1, this->guard.Upstreams().size());
}

TEST(Guard, ADepartureThatIsSentAgainIsTheSame) {
  this->guard.Announce(StartAt(static_cast<uint64_t>(WallClockMillis()) - 9));
  const std::string departure = this->guard.Withdraw("lote-2");
  CHECK(departure == this->guard.Withdraw("lote-2"));
  LONGS_EQUAL(1, this->guard.KnownDepartures().size());
}

TEST(Guard, TheNextStartOfAnUpstreamThatLeftIsUsed) {
  const auto now = static_cast<uint64_t>(WallClockMillis());
  this->guard.Announce(StartAt(now - 10'000));
  this->guard.Withdraw("lote-2");
  this->guard.Announce(StartAt(now + 4'000));
  LONGS_EQUAL(2, this->guard.Upstreams().size());
}

// An upstream that was draining ends with its departure, and its next start may
// begin at once.
TEST(Guard, TheNextStartOfADrainedUpstreamIsUsedAtOnce) {
  const auto now = static_cast<uint64_t>(WallClockMillis());
  Announcement draining = StartAt(now - 10'000);
  this->guard.Announce(draining);
  draining.draining = true;
  draining.sequence = 2;
  this->guard.Announce(draining);
  this->guard.Withdraw("lote-2");
  this->guard.Announce(StartAt(now + 1'000));
  LONGS_EQUAL(2, this->guard.Upstreams().size());
}

// The clock of the host was set back after the upstream had started.
TEST(Guard, ADepartureByIdHoldsForAStartAheadOfTheClock) {
  const auto ahead = static_cast<uint64_t>(WallClockMillis()) + 60'000;
  Announcement announcement = StartAt(ahead);
  this->guard.Announce(announcement);
  this->guard.Withdraw("lote-2");
  announcement.sequence = 2;
  this->guard.Announce(announcement);
  LONGS_EQUAL(1, this->guard.Upstreams().size());
}

// A late announcement of an earlier start, at an endpoint that it no longer
// had, took the place of the present start.
TEST(Guard, ALateAnnouncementOfAnEarlierStartAtAnotherEndpointIsIgnored) {
  const auto restarts = [this] {
    return this->recorder.counters().Value(
        "kingcupstair_events_total",
        {{.name = "kind", .value = "upstream_restarted"}});
  };
  this->guard.Announce(StartAt(1));
  Announcement next = StartAt(2);
  next.endpoint = {.port = 3};
  this->guard.Announce(next);
  LONGS_EQUAL(1, restarts());
  Announcement late = StartAt(1);
  late.sequence = 2;
  this->guard.Announce(late);
  LONGS_EQUAL(1, restarts());
}

// A late announcement of a departure was dropped as out of date: the upstream
// stayed in use.
TEST(Guard, ADepartureThatIsAnnouncedLateHolds) {
  Announcement announcement{.id = "lote-2",
                            .service = "lote",
                            .endpoint = {.port = 2},
                            .incarnation = "@1",
                            .started_at = 1,
                            .sequence = 5};
  this->guard.Announce(announcement);
  LONGS_EQUAL(2, this->guard.Upstreams().size());
  announcement.sequence = 4;
  announcement.draining = true;
  CHECK(this->guard.Announce(announcement).has_value());
  LONGS_EQUAL(1, this->guard.Upstreams().size());
}

// A request that may run once was sent although its caller had left while the
// connection to its upstream was opened.
TEST(Guard, ARequestThatIsCancelledWhileItsConnectionOpensIsNotSent) {
  const Listener upstream = ListenOnLoopback(1);
  this->guard.Announce({.id = "lote-2",
                        .service = "lote",
                        .endpoint = upstream.endpoint,
                        .slots = 1});
  static auto* workers = new fibers::WorkerPool(1);
  for (const bool idempotent : {true, false}) {
    const once::RunRequest request{
        .request_id = idempotent ? "lookup" : "order",
        .incarnation = kIncarnation,
        .upstream = "lote-2",
        .fingerprint = kFingerprint,
        .idempotent = idempotent,
        .remaining_time = Millis(1'000)};
    const auto slot = this->guard.Reserve({.request_id = request.request_id,
                                           .incarnation = kIncarnation,
                                           .upstream = "lote-2",
                                           .remaining_time = Millis(1'000)});
    CHECK(slot.granted);
    const AcceptAnswer accepted = this->guard.Accept(request);
    std::promise<rpc::RunResult> ended;
    workers->Spawn([&] {
      boost::fibers::fiber(boost::fibers::launch::dispatch, [&] {
        ended.set_value(this->guard.Run(std::get<AcceptedRun>(accepted)));
      }).detach();
      this->guard.Cancel(request.request_id, kIncarnation);
    });
    const rpc::RunResult result = ended.get_future().get();
    CHECK(result.outcome ==
          once::Outcome(once::NotRun{.reason = once::RefusalReason::kFenced}));
    const int connection = accept(upstream.socket, nullptr, nullptr);
    char byte = 0;
    LONGS_EQUAL(0, recv(connection, &byte, 1, 0));
    close(connection);
  }
  close(upstream.socket);
}

// Guards against slots that are held for hosts which gave up while this process
// was frozen: the requests that came next waited in vain.
TEST(Guard, ASlotOfASenderThatHasGivenUpIsFreeAtOnce) {
  const auto reserve = [this](const char* request_id,
                              const CancellationPtr& abandoned) {
    return this->guard
        .ReserveForPeer({.request_id = request_id,
                         .incarnation = kIncarnation,
                         .upstream = "lote-1",
                         .remaining_time = Millis(1'000)},
                        abandoned)
        .granted;
  };
  const auto early = std::make_shared<Cancellation>();
  early->Cancel();
  reserve("given-up-before", early);
  const auto late = std::make_shared<Cancellation>();
  CHECK(reserve("given-up-after", late));
  CHECK_FALSE(reserve("too-early", std::make_shared<Cancellation>()));
  late->Cancel();
  CHECK(reserve("next", std::make_shared<Cancellation>()));
}

TEST(Guard, OnlyASuccessProvesThatARequestIsHarmless) {
  CHECK(ProvesHarmless(once::Ran{.response = {.status = 200}}));
  CHECK_FALSE(ProvesHarmless(once::Ran{.response = {.status = 500}}));
  CHECK_FALSE(ProvesHarmless(once::Ran{.response = {.status = 429}}));
  CHECK_FALSE(ProvesHarmless(once::Unknown{}));
  CHECK_FALSE(ProvesHarmless(once::NotRun{}));
}

}  // namespace
}  // namespace kingcupstair::guard
