#include "components/http/client.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <fstream>
#include <future>
#include <optional>
#include <string>
#include <thread>

#include "components/fibers/worker_pool.h"
#include "tests/http/raw_server.h"
#include "tests/support/times.h"

namespace kingcupstair::http {
namespace {

/// Runs one exchange in a fiber. The pool is never destroyed, since idle
/// connections belong to its thread.
Result RunExchange(const Call& call) {
  static auto* workers = new fibers::WorkerPool(1);
  std::promise<Result> result;
  workers->Spawn([&] { result.set_value(Exchange(call)); });
  return result.get_future().get();
}

Result RunExchange(const Endpoint& server, bool reuse = false) {
  return RunExchange(
      {.server = server, .timeout = Millis(300), .reuse_connection = reuse});
}

RawServer::Reply CompleteReply(const std::string& body) {
  return {.text = "HTTP/1.1 200 OK\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body};
}

/// Returns the time until the kernel's next keep-alive probe on the connection
/// to `server`, or nullopt if none is due.
std::optional<Duration> TimeToKeepAliveProbe(const Endpoint& server) {
  constexpr int kKeepAliveTimer = 2;
  constexpr int kTicksPerSecond = 100;
  std::ifstream connections("/proc/net/tcp");
  std::string line;
  while (std::getline(connections, line)) {
    unsigned remote_port = 0;
    unsigned timer = 0;
    unsigned ticks = 0;
    const int fields =
        std::sscanf(line.c_str(), " %*d: %*x:%*x %*x:%x %*x %*x:%*x %x:%x",
                    &remote_port, &timer, &ticks);
    if (fields == 3 && remote_port == server.port && timer == kKeepAliveTimer) {
      return std::chrono::milliseconds(ticks * 1'000 / kTicksPerSecond);
    }
  }
  return std::nullopt;
}

TEST_GROUP(HttpClient){};

// A watch of the store whose connection had gone silent was noticed after nine
// seconds, and changes made meanwhile were not in force.
TEST(HttpClient, ASilentConnectionOfALongExchangeIsProbed) {
  RawServer server({{.text = "", .hold_open = true}});
  std::thread exchange([&] {
    RunExchange({.server = server.Address(),
                 .timeout = Millis(600),
                 .reuse_connection = false,
                 .detect_silence = true});
  });
  std::optional<Duration> next_probe;
  for (int i = 0; i < 50 && !next_probe.has_value(); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    next_probe = TimeToKeepAliveProbe(server.Address());
  }
  exchange.join();
  CHECK(next_probe.has_value());
  CHECK(*next_probe <= Millis(1'000));
}

TEST(HttpClient, ReadsACompleteResponse) {
  RawServer server({CompleteReply("hello")});
  const Result result = RunExchange(server.Address());
  CHECK(result.ok());
  STRCMP_EQUAL("hello", result.response.body.text().c_str());
}

// Statuses from 600 on reached callers, and the response after one under 100
// was taken for that to the request.
TEST(HttpClient, AResponseWithAnInvalidStatusIsAFailure) {
  std::string accepted;
  for (const char* status :
       {"000 Odd", "000", "099 Odd", "600 Odd", "999 Odd", "1000 Odd",
        "65736 Odd", "20 Odd", "-20 Odd", "abc Odd", "", " 200 OK", "OK",
        "101 Switching Protocols"}) {
    RawServer server({{.text = "HTTP/1.1 " + std::string(status) +
                               "\r\nContent-Length: 0\r\n\r\n" +
                               CompleteReply("hello").text}});
    const Result result = RunExchange(server.Address());
    if (result.ok() || result.failure.stage != Stage::kReceive) {
      accepted += std::string("[") + status + "]";
    }
  }
  STRCMP_EQUAL("", accepted.c_str());
}

TEST(HttpClient, AnInterimResponseWithoutAFinalOneIsAFailure) {
  for (const char* status : {"100 Continue", "103 Early Hints", "199 Odd"}) {
    RawServer server(
        {{.text = "HTTP/1.1 " + std::string(status) + "\r\n\r\n"}});
    CHECK_TEXT(!RunExchange(server.Address()).ok(), status);
  }
}

TEST(HttpClient, TheLowestAndTheHighestFinalStatusAreResponses) {
  for (const char* status : {"200 OK", "599 Odd"}) {
    RawServer server({{.text = "HTTP/1.1 " + std::string(status) +
                               "\r\nContent-Length: 0\r\n\r\n"}});
    CHECK_TEXT(RunExchange(server.Address()).ok(), status);
  }
}

TEST(HttpClient, ATruncatedResponseIsAFailure) {
  RawServer server(
      {{.text = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhello"}});
  const Result result = RunExchange(server.Address());
  CHECK_FALSE(result.ok());
  CHECK(result.failure.stage == Stage::kReceive);
}

TEST(HttpClient, AResponseThatEndsInItsHeadIsAFailure) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Order: 7\r\nConnection: close\r\n\r\n";
  for (const bool reset : {false, true}) {
    for (size_t length = 0; length < head.size(); ++length) {
      RawServer server({{.text = head.substr(0, length), .reset = reset}});
      const Result result = RunExchange(server.Address());
      CHECK_FALSE(result.ok());
      CHECK(result.failure.stage == Stage::kReceive);
      LONGS_EQUAL(0, result.response.headers.size());
    }
  }
}

TEST(HttpClient, ATruncatedChunkedResponseIsAFailure) {
  RawServer server({{.text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                             "\r\n\r\n5\r\nhello\r\n"}});
  CHECK_FALSE(RunExchange(server.Address()).ok());
}

TEST(HttpClient, AResponseWithoutLengthEndsAtAnOrderlyClose) {
  RawServer server({{.text = "HTTP/1.1 200 OK\r\n\r\nhello"}});
  const Result result = RunExchange(server.Address());
  CHECK(result.ok());
  STRCMP_EQUAL("hello", result.response.body.text().c_str());
}

TEST(HttpClient, AResponseWithoutLengthEndedByAResetIsAFailure) {
  RawServer server({{.text = "HTTP/1.1 200 OK\r\n\r\nhello", .reset = true}});
  CHECK_FALSE(RunExchange(server.Address()).ok());
}

TEST(HttpClient, ALateResponseIsNotReturnedForTheNextRequest) {
  RawServer server({{.hold_open = true}, CompleteReply("second")});
  const Result first = RunExchange(server.Address(), true);
  CHECK_FALSE(first.ok());
  CHECK(first.failure.timed_out);
  const Result second = RunExchange(server.Address(), true);
  CHECK(second.ok());
  STRCMP_EQUAL("second", second.response.body.text().c_str());
}

TEST(HttpClient, AConnectionWithExtraBytesIsNotReused) {
  RawServer::Reply reply = CompleteReply("first");
  reply.text += CompleteReply("somebody else's").text;
  reply.hold_open = true;
  RawServer server({reply, CompleteReply("second")});
  STRCMP_EQUAL(
      "first",
      RunExchange(server.Address(), true).response.body.text().c_str());
  STRCMP_EQUAL(
      "second",
      RunExchange(server.Address(), true).response.body.text().c_str());
}

// A faulty server sent a refusal once more. It came without the id of its
// request and was taken for the refusal of the next one, which ran.
TEST(HttpClient, ACopyOfAnEarlierResponseWithoutItsIdIsNotTheNextResponse) {
  const std::string refusal =
      "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nX-Not-Run: 1\r\n";
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n";
  RawServer server(
      {{.text = refusal + "X-Id: a\r\n\r\n",
        .next = refusal + "\r\n" + answer + "X-Id: b\r\n\r\nran"}});
  const auto call = [&](const char* id) {
    return RunExchange({.server = server.Address(),
                        .timeout = Millis(300),
                        .expected_echo = Header{.name = "X-Id", .value = id}});
  };
  LONGS_EQUAL(503, call("a").response.status);
  const Result second = call("b");
  CHECK(second.ok());
  LONGS_EQUAL(200, second.response.status);
  STRCMP_EQUAL("ran", second.response.body.text().c_str());
}

// The connection was opened after the caller had left, and the request was
// sent.
TEST(HttpClient, ACallThatIsCancelledBeforeItsConnectionIsOpenIsNotSent) {
  RawServer server({CompleteReply("unwanted")});
  const auto cancellation = std::make_shared<Cancellation>();
  cancellation->Cancel();
  const Result result =
      RunExchange({.server = server.Address(), .cancellation = cancellation});
  CHECK_FALSE(result.ok());
  CHECK(result.failure.stage == Stage::kConnect);
  CHECK(result.failure.cancelled);
}

TEST(HttpClient, ARefusedConnectionFailsAtTheConnectStageWithStepAndPeer) {
  const Endpoint nowhere{.address = "127.0.0.1", .port = 1};
  const Result result = RunExchange(nowhere);
  CHECK(result.failure.stage == Stage::kConnect);
  CHECK(result.failure.status.message().find("connect at 127.0.0.1:1") !=
        absl::string_view::npos);
}

}  // namespace
}  // namespace kingcupstair::http
