#include "platform/upstream_calls.h"

#include <CppUTest/TestHarness.h>

#include <cstring>
#include <future>
#include <nlohmann/json.hpp>
#include <random>

#include "components/fibers/worker_pool.h"

namespace kingcupstair::platform {
namespace {

http::Request Heartbeat(const std::string& body) {
  return {.method = "PUT", .target = "/v1/instances/i-1", .body = body};
}

constexpr char kBody[] =
    R"({"service":"lote","address":"10.1.0.5:8403","zone":"aqp-1",)"
    R"("version":"v1","slots":7,"state":"in_service","warmupLeft":"0ms",)"
    R"("sequence":4,"born":1790000000000})";

TEST_GROUP(UpstreamCalls){};

TEST(UpstreamCalls, AHeartbeatIsParsedAsAnAnnouncement) {
  const auto call = ReadUpstreamCall(Heartbeat(kBody));
  const auto& announcement = std::get<guard::Announcement>(**call);
  STRCMP_EQUAL("i-1", announcement.id.c_str());
  STRCMP_EQUAL("lote", announcement.service.c_str());
  STRCMP_EQUAL("v1", announcement.version.c_str());
  LONGS_EQUAL(7, announcement.slots);
  LONGS_EQUAL(4, announcement.sequence);
  CHECK(announcement.started_at == 1790000000000);
  CHECK(announcement.reports_cold_state);
  CHECK_FALSE(announcement.cold);
  CHECK_FALSE(announcement.draining);
}

TEST(UpstreamCalls, AnUpstreamWithWarmUpTimeLeftIsCold) {
  std::string body = kBody;
  body.replace(body.find("0ms"), 3, "1.5s");
  const auto call = ReadUpstreamCall(Heartbeat(body));
  CHECK(std::get<guard::Announcement>(**call).cold);
}

TEST(UpstreamCalls, InvalidHeartbeatsAreRejected) {
  const char* bodies[] = {
      "",
      "[]",
      R"({"service":"lote","address":"10.1.0.5:8403","slots":7})",
      R"({"service":"lote","address":7,"slots":7,"state":"in_service"})",
      R"({"service":"lote","address":"10.1.0.5:1","slots":"7",)"
      R"("state":"in_service"})",
      R"({"service":"lote","address":"10.1.0.5:1","slots":7,)"
      R"("state":"asleep"})",
  };
  for (const char* body : bodies) {
    CHECK_FALSE(ReadUpstreamCall(Heartbeat(body))->ok());
  }
}

// A heartbeat of another writer without the start of the upstream was taken for
// a new start, and brought an upstream that had left back into use.
TEST(UpstreamCalls, AnIncompleteHeartbeatNamesNoUpstream) {
  const auto whole = nlohmann::json::parse(kBody);
  for (const auto& field : whole.items()) {
    nlohmann::json missing = whole;
    missing.erase(field.key());
    CHECK_FALSE(ReadUpstreamCall(Heartbeat(missing.dump()))->ok());
    nlohmann::json mistyped = whole;
    mistyped[field.key()] = nlohmann::json::array();
    CHECK_FALSE(ReadUpstreamCall(Heartbeat(mistyped.dump()))->ok());
  }
  for (const char* born : {"0", "-1", "1790000000000.5", "\"1790000000000\""}) {
    std::string body = kBody;
    body.replace(body.find("1790000000000"), 13, born);
    CHECK_FALSE(ReadUpstreamCall(Heartbeat(body))->ok());
  }
}

// An announcement of another writer with more slots than can be passed on to
// other hosts was taken, with its number cut to the low bits.
TEST(UpstreamCalls, AnAnnouncementWithNumbersOutOfRangeIsRejected) {
  for (const char* slots :
       {"65536", "4294967303", "18446744073709551616", "1e400", "-1", "0.5"}) {
    std::string body = kBody;
    body.replace(body.find("\"slots\":7") + 8, 1, slots);
    CHECK_FALSE(ReadUpstreamCall(Heartbeat(body))->ok());
  }
  for (const char* port : {"0", "65536", "-1", "99999999999999999999"}) {
    std::string body = kBody;
    body.replace(body.find("8403"), 4, port);
    CHECK_FALSE(ReadUpstreamCall(Heartbeat(body))->ok());
  }
}

TEST(UpstreamCalls, AnEndlessWarmUpTimeIsAWarmUpTime) {
  std::string body = kBody;
  body.replace(body.find("0ms"), 3, "1e300s");
  const auto call = ReadUpstreamCall(Heartbeat(body));
  CHECK(std::get<guard::Announcement>(**call).cold);
}

// Requests are read on the small stacks of fibers.
TEST(UpstreamCalls, ADeeplyNestedAnnouncementIsRejected) {
  constexpr size_t kDepth = 1'000'000;
  static auto* workers = new fibers::WorkerPool(1);
  for (const char* open : {"[", "{\"a\":"}) {
    std::string body;
    for (size_t i = 0; i < kDepth; ++i) {
      body += open;
    }
    for (const std::string& each :
         {body, R"({"service":)" + std::string(kDepth, '[') +
                    std::string(kDepth, ']') + "}"}) {
      std::promise<bool> accepted;
      workers->Spawn(
          [&] { accepted.set_value(ReadUpstreamCall(Heartbeat(each))->ok()); });
      CHECK_FALSE(accepted.get_future().get());
    }
  }
}

// An id that is not text was taken, and the process ended when it wrote the
// departure to the store.
TEST(UpstreamCalls, AnIdThatIsNoVisibleTextNamesNoUpstream) {
  const std::string ids[] = {"i-\xff\xfe", "i-\x01", "i 1",
                             "i-\xc3\xa4", "i-\x7f", std::string(201, 'i')};
  for (const std::string& id : ids) {
    for (const char* method : {"PUT", "DELETE"}) {
      const auto call = ReadUpstreamCall({.method = method,
                                          .target = "/v1/instances/" + id,
                                          .body = std::string(kBody)});
      CHECK(call.has_value());
      CHECK_FALSE(call->ok());
    }
  }
}

// Each field goes to all hosts, the store and pages.
TEST(UpstreamCalls, ALongNameIsRejected) {
  const std::string long_name(201, 'x');
  for (const char* field : {R"("lote")", R"("v1")"}) {
    std::string body = kBody;
    body.replace(body.find(field), strlen(field), '"' + long_name + '"');
    CHECK_FALSE(ReadUpstreamCall(Heartbeat(body))->ok());
  }
}

// An exception of a decoder ended the process.
TEST(UpstreamCalls, SpoiledHeartbeatsAreParsedOrRejected) {
  std::mt19937_64 random(1);
  for (int i = 0; i < 20'000; ++i) {
    std::string body = kBody;
    const size_t changes = 1 + random() % 4;
    for (size_t j = 0; j < changes; ++j) {
      body[random() % body.size()] = static_cast<char>(random());
    }
    ReadUpstreamCall(Heartbeat(body))->status().IgnoreError();
  }
}

TEST(UpstreamCalls, ADeleteIsParsedAsADeparture) {
  const auto call =
      ReadUpstreamCall({.method = "DELETE", .target = "/v1/instances/i-1"});
  STRCMP_EQUAL("i-1", std::get<site::Departure>(**call).id.c_str());
  CHECK_FALSE(ReadUpstreamCall({.target = "/metrics"}).has_value());
}

}  // namespace
}  // namespace kingcupstair::platform
