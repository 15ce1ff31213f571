#include "components/store/client.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "components/fibers/worker_pool.h"
#include "components/http/byte_lease.h"
#include "tests/http/raw_server.h"
#include "tests/support/times.h"

namespace kingcupstair::store {
namespace {

/// Runs `call` with a client whose store replies with `status` and the era 7.
/// The pool is never destroyed, since idle connections belong to its thread.
void CallStore(const std::string& status,
               const std::function<void(const Client&)>& call) {
  static auto* workers = new fibers::WorkerPool(1);
  const RawServer server(
      {{.text = "HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\n\r\n"}});
  Protocol protocol = FleetProtocol();
  protocol.read_era = [](const http::Response&) { return 7; };
  const Client client({.server = server.Address(),
                       .timeout = Millis(300),
                       .protocol = protocol});
  std::promise<void> ended;
  workers->Spawn([&] {
    call(client);
    ended.set_value();
  });
  ended.get_future().get();
}

/// Lists from a store that always has a further page. `next_page` returns its
/// entry. Returns the number of pages until the call failed.
int PagesOfEndlessListing(const std::function<KeyedEntry(int)>& next_page) {
  constexpr int kMaxPages = 20;
  static auto* workers = new fibers::WorkerPool(1);
  const RawServer server(std::vector<RawServer::Reply>(
      kMaxPages, {.text = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                          "Content-Length: 0\r\n\r\n"}));
  int pages = 0;
  Protocol protocol = FleetProtocol();
  protocol.list = [](const ListCall&) { return http::Request{}; };
  protocol.read_listing = [&](const http::Response&) {
    return Listing{.entries = {next_page(++pages)}, .more = true};
  };
  const Client client({.server = server.Address(),
                       .timeout = Millis(300),
                       .protocol = protocol});
  std::promise<bool> ended;
  workers->Spawn([&] { ended.set_value(client.List("a", false).ok()); });
  CHECK_FALSE(ended.get_future().get());
  return pages;
}

/// Lists from a store with one entry whose value comes in `parts`, with `pause`
/// after each. Returns whether the listing is whole.
bool ListsLongValue(int parts, std::chrono::milliseconds pause) {
  constexpr size_t kValueBytes = 1'000'000;
  static auto* workers = new fibers::WorkerPool(1);
  const RawServer server({{.text = "HTTP/1.1 200 OK\r\nContent-Length: " +
                                   std::to_string(kValueBytes) + "\r\n\r\n" +
                                   std::string(kValueBytes, 'v'),
                           .parts = parts,
                           .pause = pause}});
  Protocol protocol = FleetProtocol();
  protocol.list = [](const ListCall&) { return http::Request{}; };
  protocol.read_listing = [](const http::Response& response) {
    return Listing{
        .entries = {{.key = "a",
                     .entry = {.value = response.body.text(), .version = 1}}}};
  };
  const Client client({.server = server.Address(), .protocol = protocol});
  std::promise<bool> ended;
  workers->Spawn([&] {
    const auto listing = client.List("a", false);
    ended.set_value(listing.ok() &&
                    listing->entries.at(0).entry.value.size() == kValueBytes);
  });
  return ended.get_future().get();
}

TEST_GROUP(StoreClient){};

// A host with a link of 10 Mbit/s never had a large configuration: each read
// was cut off after one second and begun anew.
TEST(StoreClient, AListingThatTakesLongerThanTheTimeoutIsRead) {
  CHECK(ListsLongValue(20, std::chrono::milliseconds(100)));
}

TEST(StoreClient, AListingThatStopsComingIsAnError) {
  CHECK_FALSE(ListsLongValue(2, std::chrono::milliseconds(2500)));
}

// The configuration stayed out of force while clients read long responses
// slowly.
TEST(StoreClient, AListingDoesNotWaitForTheMemoryOfClients) {
  http::SetProcessByteBudget({.bytes = 100'000});
  {
    const auto beyond =
        http::ByteLease::Take(http::ByteBudget::Kind::kResponse);
    const auto waits = http::ByteLease::Take(http::ByteBudget::Kind::kResponse);
    CHECK(beyond->TryGrow(200'000) == http::ByteBudget::Grant::kGranted);
    CHECK(waits->TryGrow(200'000) == http::ByteBudget::Grant::kWait);
    CHECK(ListsLongValue(1, {}));
  }
  http::SetProcessByteBudget({});
}

// A host on a slow link gave up the change that its watch was bringing because
// another host had it half a second before.
TEST(StoreClient, AWatchThatBringsAChangeIsNotCancelled) {
  static auto* workers = new fibers::WorkerPool(1);
  const RawServer server({{.text = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n"
                                   "\r\n0123456789",
                           .parts = 10,
                           .pause = std::chrono::milliseconds(50)},
                          {.text = "", .hold_open = true}});
  Protocol protocol = FleetProtocol();
  protocol.watch = [](const WatchCall&) { return http::Request{}; };
  protocol.read_changes = [](const http::Response& response) {
    return Changes{.revision = response.body.size()};
  };
  const Client client({.server = server.Address(), .protocol = protocol});
  const auto watch = [&](Duration cancelled_after) {
    const auto cancellation = std::make_shared<Cancellation>();
    std::promise<absl::StatusOr<Changes>> ended;
    workers->Spawn([&] {
      ended.set_value(client.WatchPrefix(
          {.wait = std::chrono::seconds(20), .cancellation = cancellation}));
    });
    std::this_thread::sleep_for(cancelled_after);
    cancellation->Cancel();
    return ended.get_future().get();
  };
  const auto begun = watch(Millis(200));
  CHECK(begun.ok());
  LONGS_EQUAL(10, begun->revision);
  const Instant start = MonotonicNow();
  CHECK_FALSE(watch(Millis(200)).ok());
  CHECK(MonotonicNow() - start < std::chrono::seconds(10));
}

// A listing without end filled the memory of the process.
TEST(StoreClient, AListingThatDoesNotEndIsAnError) {
  LONGS_EQUAL(
      2, PagesOfEndlessListing([](int) { return KeyedEntry{.key = "a"}; }));
  LONGS_EQUAL(8, PagesOfEndlessListing([](int page) {
                return KeyedEntry{
                    .key = "a" + std::to_string(page),
                    .entry = {.value = std::string(8 * 1024 * 1024, 'v')}};
              }));
}

// Otherwise a write of unknown effect counts as done, and an era that no store
// has makes the client reject the responses of the store for good.
TEST(StoreClient, AResponseWithAnInvalidStatusIsAFailedCall) {
  std::string accepted;
  for (const std::string status : {"000", "099", "101", "600", "999"}) {
    const auto check = [&](const char* call, bool failed) {
      accepted += failed ? "" : "[" + status + " " + call + "]";
    };
    CallStore(status, [&](const Client& client) {
      check("get", !client.Get("a").ok());
      check("era", client.era() == 0);
    });
    CallStore(status, [&](const Client& client) {
      check("put", !client.Put("a", "b", 0).ok());
    });
    CallStore(status, [&](const Client& client) {
      check("delete", !client.Delete("a").ok());
    });
  }
  STRCMP_EQUAL("", accepted.c_str());
}

}  // namespace
}  // namespace kingcupstair::store
