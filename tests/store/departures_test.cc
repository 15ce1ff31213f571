#include "components/store/departures.h"

#include <CppUTest/TestHarness.h>

#include <future>
#include <string>
#include <vector>

#include "components/fibers/worker_pool.h"
#include "tests/http/raw_server.h"
#include "tests/support/times.h"

namespace kingcupstair::store {
namespace {

/// Reads the departures of a host from a store that replies with `text`. The
/// pool is never destroyed, since idle connections belong to its thread.
absl::StatusOr<StoredDepartures> ReadFrom(const std::string& text) {
  static auto* workers = new fibers::WorkerPool(1);
  const RawServer server({{.text = text}});
  const Client client({.server = server.Address(), .timeout = Millis(300)});
  std::promise<absl::StatusOr<StoredDepartures>> result;
  workers->Spawn(
      [&] { result.set_value(ReadDepartures(client, "10.0.0.1:7000")); });
  return result.get_future().get();
}

std::string ValueReply(const std::string& value) {
  return "HTTP/1.1 200 OK\r\nX-Version: 3\r\nContent-Length: " +
         std::to_string(value.size()) + "\r\n\r\n" + value;
}

TEST_GROUP(StoredDepartures){};

TEST(StoredDepartures, AreReadWithTheirVersion) {
  const auto stored = ReadFrom(ValueReply(R"(["lote-1/@5","lote-2/@7"])"));
  CHECK(stored.ok());
  CHECK(StoredDepartures({.names = {"lote-1/@5", "lote-2/@7"}, .version = 3}) ==
        *stored);
}

TEST(StoredDepartures, AreNoneIfTheHostHasNeverKeptAny) {
  const auto stored =
      ReadFrom("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
  CHECK(stored.ok());
  CHECK(StoredDepartures() == *stored);
}

// A value that can't be read must not be taken for "none".
TEST(StoredDepartures, ThatCantBeReadAreAnError) {
  for (const char* value : {"", "{}", "[1]", "[\"lote-1"}) {
    CHECK_FALSE(ReadFrom(ValueReply(value)).ok());
  }
}

// Writing a name that is not text threw, which ended the process.
TEST(StoredDepartures, WithBytesThatAreNoTextAreWritten) {
  static auto* workers = new fibers::WorkerPool(1);
  const RawServer server(
      {{.text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}});
  const Client client({.server = server.Address(), .timeout = Millis(300)});
  std::promise<absl::StatusOr<PutResult>> result;
  workers->Spawn([&] {
    result.set_value(
        WriteDepartures(client, "10.0.0.1:7000", {"lote-\xff\xfe/@1"}, {}));
  });
  CHECK(result.get_future().get().ok());
}

TEST(StoredDepartures, OfAStoreThatDoesNotRespondAreAnError) {
  CHECK_FALSE(ReadFrom("").ok());
}

}  // namespace
}  // namespace kingcupstair::store
