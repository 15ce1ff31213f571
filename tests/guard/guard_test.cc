#include "components/guard/guard.h"

#include <CppUTest/TestHarness.h>

#include "tests/support/times.h"

namespace kingcupstair::guard {
namespace {

constexpr uint64_t kIncarnation = 1;
constexpr once::Fingerprint kFingerprint = 7;

TEST_GROUP(Guard) {
  Snapshot<config::Configuration> configuration;
  SharedCrashLedger crashes;
  events::Recorder recorder{{.revision = [] { return 1; }}};
  Guard guard{{.incarnation = [] { return kIncarnation; },
               .isolated = [] { return false; }},
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

TEST(Guard, OnlyASuccessProvesThatARequestIsHarmless) {
  CHECK(ProvesHarmless(once::Ran{.response = {.status = 200}}));
  CHECK_FALSE(ProvesHarmless(once::Ran{.response = {.status = 500}}));
  CHECK_FALSE(ProvesHarmless(once::Ran{.response = {.status = 429}}));
  CHECK_FALSE(ProvesHarmless(once::Unknown{}));
  CHECK_FALSE(ProvesHarmless(once::NotRun{}));
}

}  // namespace
}  // namespace kingcupstair::guard
