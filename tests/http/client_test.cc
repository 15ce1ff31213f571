#include "components/http/client.h"

#include <CppUTest/TestHarness.h>

#include <future>

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

TEST_GROUP(HttpClient){};

TEST(HttpClient, ReadsACompleteResponse) {
  RawServer server({CompleteReply("hello")});
  const Result result = RunExchange(server.Address());
  CHECK(result.ok());
  STRCMP_EQUAL("hello", result.response.body.c_str());
}

TEST(HttpClient, ATruncatedResponseIsAFailure) {
  RawServer server(
      {{.text = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhello"}});
  const Result result = RunExchange(server.Address());
  CHECK_FALSE(result.ok());
  CHECK(result.failure.stage == Stage::kReceive);
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
  STRCMP_EQUAL("hello", result.response.body.c_str());
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
  STRCMP_EQUAL("second", second.response.body.c_str());
}

TEST(HttpClient, AConnectionWithExtraBytesIsNotReused) {
  RawServer::Reply reply = CompleteReply("first");
  reply.text += CompleteReply("somebody else's").text;
  reply.hold_open = true;
  RawServer server({reply, CompleteReply("second")});
  STRCMP_EQUAL("first",
               RunExchange(server.Address(), true).response.body.c_str());
  STRCMP_EQUAL("second",
               RunExchange(server.Address(), true).response.body.c_str());
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
