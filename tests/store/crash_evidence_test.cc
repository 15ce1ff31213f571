#include "components/store/crash_evidence.h"

#include <CppUTest/TestHarness.h>

#include <future>
#include <string>

#include "components/fibers/worker_pool.h"
#include "tests/http/raw_server.h"
#include "tests/support/times.h"

namespace kingcupstair::store {
namespace {

constexpr int64_t kWrittenAtMs = 1'790'000'000'000;

const once::EvidenceContent& Example() {
  static const once::EvidenceContent content{
      .crashes = {{.evidence = {.fingerprint = 18'446'744'073'709'551'615U,
                                .upstream = "lote-1/@5"},
                   .age = Millis(40)}},
      .clearances = {{.evidence = {.fingerprint = 7, .upstream = "lote-2/@7"},
                      .age = Millis(0)}}};
  return content;
}

Entry Written() {
  return {.value = EncodeEvidence(Example(), kWrittenAtMs), .version = 3};
}

/// Reads the evidence from a store that replies with `text`. The pool is never
/// destroyed, since idle connections belong to its thread.
absl::StatusOr<StoredEvidence> ReadFrom(const std::string& text) {
  static auto* workers = new fibers::WorkerPool(1);
  const RawServer server({{.text = text}});
  const Client client({.server = server.Address(), .timeout = Millis(300)});
  std::promise<absl::StatusOr<StoredEvidence>> result;
  workers->Spawn([&] { result.set_value(ReadCrashEvidence(client)); });
  return result.get_future().get();
}

TEST_GROUP(StoredEvidence){};

TEST(StoredEvidence, AgesByTheWallClockUntilItIsRead) {
  const StoredEvidence stored = DecodeEvidence(Written(), kWrittenAtMs + 2'000);
  CHECK(stored.is_readable);
  LONGS_EQUAL(3, stored.version);
  LONGS_EQUAL(1, stored.content.crashes.size());
  CHECK(once::HasAllOf(stored.content, Example()));
  CHECK(stored.content.crashes[0].age == Millis(2'040));
  CHECK(stored.content.clearances[0].age == Millis(2'000));
}

// Otherwise a clock that was years ahead would renew the evidence at each
// start.
TEST(StoredEvidence, OfAClockThatWasAheadCountsAsNewWithinABound) {
  const StoredEvidence near = DecodeEvidence(Written(), kWrittenAtMs - 60'000);
  LONGS_EQUAL(1, near.content.crashes.size());
  CHECK(near.content.crashes[0].age == Duration{});
  const StoredEvidence far =
      DecodeEvidence(Written(), kWrittenAtMs - 3'600'000);
  LONGS_EQUAL(0, far.content.crashes.size());
}

// The next write replaces a value that can't be read, so it is no error.
TEST(StoredEvidence, ThatCantBeReadKeepsItsVersion) {
  for (const char* value : {"", "[]", "{}", R"({"crashes":[],"clearances":3})",
                            R"({"crashes":[1],"clearances":[]})"}) {
    const StoredEvidence stored =
        DecodeEvidence({.value = value, .version = 4}, kWrittenAtMs);
    CHECK_FALSE(stored.is_readable);
    LONGS_EQUAL(4, stored.version);
  }
}

TEST(StoredEvidence, IsNoneIfTheFleetHasNeverKeptAny) {
  const auto stored =
      ReadFrom("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
  CHECK(stored.ok());
  CHECK(stored->is_readable);
  LONGS_EQUAL(0, stored->version);
}

// A store that does not respond must not be taken for one without evidence.
TEST(StoredEvidence, OfAStoreThatDoesNotRespondIsAnError) {
  CHECK_FALSE(ReadFrom("").ok());
}

}  // namespace
}  // namespace kingcupstair::store
