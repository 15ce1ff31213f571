#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <fstream>
#include <future>
#include <string>
#include <vector>

#include "components/fibers/worker_pool.h"
#include "components/http/client.h"
#include "tests/http/endless_server.h"
#include "tests/http/raw_server.h"
#include "tests/support/times.h"

namespace kingcupstair::http {
namespace {

/// What an upstream sends: the beginning, and what it repeats without end.
struct EndlessForm {
  const char* name;
  std::string begin;
  std::string repeat;
};

std::vector<EndlessForm> EndlessForms() {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string much(1'000, 'a');
  return {
      {.name = "empty lines", .begin = "", .repeat = "\r\n"},
      {.name = "no HTTP at all", .begin = "", .repeat = "a"},
      {.name = "reason phrase", .begin = "HTTP/1.1 200 ", .repeat = "a"},
      {.name = "fields", .begin = ok, .repeat = "X-Field: value\r\n"},
      {.name = "field value", .begin = ok + "X-Field: ", .repeat = "a"},
      {.name = "field name", .begin = ok, .repeat = "a"},
      {.name = "interim responses",
       .begin = "",
       .repeat = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
      {.name = "chunk size", .begin = chunked, .repeat = "0"},
      {.name = "chunk extension", .begin = chunked + "5;", .repeat = "a"},
      {.name = "small chunks with extensions",
       .begin = chunked,
       .repeat = "1;" + much + "\r\nx\r\n"},
      {.name = "chunks", .begin = chunked, .repeat = "3e8\r\n" + much + "\r\n"},
      {.name = "trailer", .begin = chunked + "0\r\n", .repeat = "X: y\r\n"},
      {.name = "body with a length",
       .begin = ok + "Content-Length: 1000000000000\r\n\r\n",
       .repeat = "a"},
      {.name = "body until close", .begin = ok + "\r\n", .repeat = "a"}};
}

fibers::WorkerPool& Workers() {
  static auto* workers = new fibers::WorkerPool(1);
  return *workers;
}

std::future<Result> StartExchange(const Endpoint& server, Duration timeout) {
  auto result = std::make_shared<std::promise<Result>>();
  Workers().Spawn([result, server, timeout] {
    result->set_value(Exchange(
        {.server = server, .timeout = timeout, .reuse_connection = false}));
  });
  return result->get_future();
}

size_t ResidentBytes() {
  constexpr size_t kPageBytes = 4096;
  std::ifstream statm("/proc/self/statm");
  size_t total = 0;
  size_t resident = 0;
  statm >> total >> resident;
  return resident * kPageBytes;
}

/// Lets `server` answer `count` exchanges at once. Returns the largest growth
/// of memory meanwhile.
size_t CheckEndsInTime(const EndlessServer& server, size_t count) {
  constexpr Duration kTimeout{std::chrono::milliseconds(700)};
  constexpr Duration kMargin{std::chrono::milliseconds(400)};
  const size_t memory_before = ResidentBytes();
  size_t most_memory = memory_before;
  const Instant start = MonotonicNow();
  std::vector<std::future<Result>> exchanges;
  for (size_t i = 0; i < count; ++i) {
    exchanges.push_back(StartExchange(server.Address(), kTimeout));
  }
  for (std::future<Result>& exchange : exchanges) {
    while (exchange.wait_for(std::chrono::milliseconds(5)) !=
           std::future_status::ready) {
      most_memory = std::max(most_memory, ResidentBytes());
    }
    CHECK_FALSE(exchange.get().ok());
  }
  CHECK(MonotonicNow() - start < kTimeout + kMargin);
  return most_memory - memory_before;
}

// The exchanges of one server may hold a pool of 16 MB and one response of
// 16 MB, each of which is twice as large while it is moved to grow.
constexpr size_t kMaxGrowth = size_t{64} * 1024 * 1024;
constexpr size_t kCallers = 12;

TEST_GROUP(EndlessResponse){void CheckForms(std::chrono::milliseconds pause){
    for (const EndlessForm& form
         : EndlessForms()){const EndlessServer server(
        {.begin = form.begin, .repeat = form.repeat, .pause = pause});
const size_t growth = CheckEndsInTime(server, kCallers);
CHECK_TEXT(growth <= kMaxGrowth, form.name);
}  // namespace
}  // namespace kingcupstair::http
}
;

TEST(EndlessResponse, EndsByTheDeadlineInBoundedMemory) {
  this->CheckForms({});
}

TEST(EndlessResponse, InDripsEndsByTheDeadline) {
  this->CheckForms(std::chrono::milliseconds(10));
}

TEST(EndlessResponse, AtFullSpeedIsGivenUpBeforeTheDeadline) {
  for (const EndlessForm& form : EndlessForms()) {
    const EndlessServer server({.begin = form.begin, .repeat = form.repeat});
    const Result result = StartExchange(server.Address(), Millis(20'000)).get();
    CHECK_FALSE(result.ok());
    CHECK_TEXT(!result.failure.timed_out, form.name);
  }
}

TEST(EndlessResponse, OtherServersAnswerMeanwhile) {
  const EndlessServer endless(
      {.begin = "HTTP/1.1 200 OK\r\n\r\n", .repeat = std::string(1'000, 'a')});
  std::vector<std::future<Result>> exchanges;
  for (size_t i = 0; i < kCallers; ++i) {
    exchanges.push_back(StartExchange(endless.Address(), Millis(1'000)));
  }
  const std::string body(100'000, 'b');
  for (int i = 0; i < 10; ++i) {
    RawServer healthy({{.text = "HTTP/1.1 200 OK\r\nContent-Length: 100000"
                                "\r\n\r\n" +
                                body}});
    const Result result = StartExchange(healthy.Address(), Millis(500)).get();
    CHECK(result.ok());
    CHECK(result.response.body == body);
  }
  for (std::future<Result>& exchange : exchanges) {
    CHECK_FALSE(exchange.get().ok());
  }
}

TEST(EndlessResponse, AnInterimResponseIsNotTheAnswer) {
  RawServer server({{.text = "HTTP/1.1 100 Continue\r\n\r\n"
                             "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
                             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
                             "hello"}});
  const Result result = StartExchange(server.Address(), Millis(300)).get();
  CHECK(result.ok());
  LONGS_EQUAL(200, result.response.status);
  STRCMP_EQUAL("hello", result.response.body.text().c_str());
}

TEST(EndlessResponse, SeveralLargeResponsesOfOneServerAllArrive) {
  constexpr size_t kBytes = size_t{9} * 1024 * 1024;
  const std::string text =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBytes) +
      "\r\n\r\n" + std::string(kBytes, 'a');
  RawServer server({{.text = text}, {.text = text}, {.text = text}});
  std::vector<std::future<Result>> exchanges;
  for (int i = 0; i < 3; ++i) {
    exchanges.push_back(StartExchange(server.Address(), Millis(5'000)));
  }
  for (std::future<Result>& exchange : exchanges) {
    const Result result = exchange.get();
    CHECK(result.ok());
    LONGS_EQUAL(kBytes, result.response.body.size());
  }
}

}  // namespace
}  // namespace kingcupstair::http
