#include "components/http/client.h"

#include <CppUTest/TestHarness.h>

#include <future>

#include "components/fibers/worker_pool.h"
#include "tests/http/raw_server.h"
#include "tests/support/times.h"

namespace kingcupstair::http {
namespace {

/// Runs one exchange on a fiber. The pool lives as long as the process, since
/// kept connections belong to its thread.
Result Ask(const Endpoint& server, bool reuse = false) {
  static auto* workers = new fibers::WorkerPool(1);
  std::promise<Result> result;
  workers->Spawn([&] {
    result.set_value(Exchange(
        {.server = server, .timeout = Millis(300), .reuse_connection = reuse}));
  });
  return result.get_future().get();
}

RawServer::Reply Whole(const std::string& body) {
  return {.text = "HTTP/1.1 200 OK\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body};
}

TEST_GROUP(HttpClient){};

TEST(HttpClient, TakesAWholeAnswer) {
  RawServer server({Whole("hello")});
  const Result result = Ask(server.Address());
  CHECK(result.ok());
  STRCMP_EQUAL("hello", result.response.body.c_str());
}

TEST(HttpClient, AnAnswerCutShortIsNoAnswer) {
  RawServer server(
      {{.text = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhello"}});
  const Result result = Ask(server.Address());
  CHECK_FALSE(result.ok());
  CHECK(result.failure.stage == Stage::kReceive);
}

TEST(HttpClient, AChunkedAnswerCutShortIsNoAnswer) {
  RawServer server({{.text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                             "\r\n\r\n5\r\nhello\r\n"}});
  CHECK_FALSE(Ask(server.Address()).ok());
}

TEST(HttpClient, AnAnswerWithoutItsLengthEndsWhereTheServerClosesInOrder) {
  RawServer server({{.text = "HTTP/1.1 200 OK\r\n\r\nhello"}});
  const Result result = Ask(server.Address());
  CHECK(result.ok());
  STRCMP_EQUAL("hello", result.response.body.c_str());
}

TEST(HttpClient, AnAnswerWithoutItsLengthThatIsResetIsNoAnswer) {
  RawServer server({{.text = "HTTP/1.1 200 OK\r\n\r\nhello", .reset = true}});
  CHECK_FALSE(Ask(server.Address()).ok());
}

TEST(HttpClient, AnAnswerThatComesLateIsNotGivenToTheNextRequest) {
  RawServer server({{.hold_open = true}, Whole("second")});
  const Result first = Ask(server.Address(), true);
  CHECK_FALSE(first.ok());
  CHECK(first.failure.timed_out);
  const Result second = Ask(server.Address(), true);
  CHECK(second.ok());
  STRCMP_EQUAL("second", second.response.body.c_str());
}

TEST(HttpClient, BytesBehindAnAnswerEndItsConnection) {
  RawServer::Reply crossed = Whole("first");
  crossed.text += Whole("somebody else's").text;
  crossed.hold_open = true;
  RawServer server({crossed, Whole("second")});
  STRCMP_EQUAL("first", Ask(server.Address(), true).response.body.c_str());
  STRCMP_EQUAL("second", Ask(server.Address(), true).response.body.c_str());
}

TEST(HttpClient, ARefusedConnectionSentNothingAndSaysWhere) {
  const Endpoint nowhere{.address = "127.0.0.1", .port = 1};
  const Result result = Ask(nowhere);
  CHECK(result.failure.stage == Stage::kConnect);
  CHECK(result.failure.status.message().find("connect at 127.0.0.1:1") !=
        absl::string_view::npos);
}

}  // namespace
}  // namespace kingcupstair::http
