#include "components/rpc/remote_body.h"

#include <CppUTest/TestHarness.h>

#include <future>
#include <string>

#include "components/fibers/worker_pool.h"
#include "components/http/byte_lease.h"
#include "components/rpc/peer_clients.h"
#include "components/rpc/peer_server.h"
#include "components/rpc/ticket.h"
#include "tests/support/times.h"

namespace kingcupstair::rpc {
namespace {

constexpr uint16_t kPort = 18'491;
constexpr size_t kBudgetBytes = 2'000'000;

std::string LongText(size_t bytes) {
  std::string text;
  while (text.size() < bytes) {
    text += std::to_string(text.size()) + ",";
  }
  return text;
}

once::Outcome RanWith(const std::string& body) {
  return once::Ran{.response = {.status = 200, .body = body}};
}

/// A host whose runs end at once with the response `body`. Made once, since
/// loops and workers run until the process ends.
class RespondingPeer {
 public:
  static RespondingPeer& Get() {
    static auto* peer = new RespondingPeer;
    return *peer;
  }

  std::future<SubmitResult> Submit(Duration remaining_time) {
    auto result = std::make_shared<std::promise<SubmitResult>>();
    this->workers.Spawn([this, result, remaining_time] {
      result->set_value(this->clients.Submit(this->name,
                                             {.remaining_time = remaining_time},
                                             Millis(1'000), Millis(1'000)));
    });
    return result->get_future();
  }

  absl::StatusOr<ResolveAnswer> Resolve() {
    std::promise<absl::StatusOr<ResolveAnswer>> answer;
    this->workers.Spawn([&] {
      answer.set_value(this->clients.Resolve(this->name, "id", 1, Millis(1'000),
                                             Millis(5'000)));
    });
    return answer.get_future().get();
  }

  const std::string body = LongText(1'000'000);
  EventLoop server_loop;

 private:
  static constexpr char kKey[] = "a key for this test";

  RespondingPeer()
      : server(this->server_loop,
               {.listen = {.address = "127.0.0.1", .port = kPort},
                .fleet_key = kKey},
               {.submit =
                    [this](const once::RunRequest&, const RunDone& done) {
                      done({.outcome = RanWith(this->body)});
                    },
                .resolve =
                    [this](const std::string&, uint64_t) {
                      return once::Resolution{RanWith(this->body)};
                    }}),
        clients(
            this->client_loop,
            {.own_host = "127.0.0.1:1", .incarnation = 1, .fleet_key = kKey}) {
    CHECK(this->server.Start().ok());
  }

  const std::string name = "127.0.0.1:" + std::to_string(kPort);
  EventLoop client_loop;
  fibers::WorkerPool workers{1};
  PeerServer server;
  PeerClients clients;
};

/// Fills the memory for messages of this process, also the part that one
/// response may have beyond it.
class FullMemory {
 public:
  FullMemory() {
    http::SetProcessByteBudget({.bytes = kBudgetBytes});
    this->lease = http::ByteLease::Take(http::ByteBudget::Kind::kResponse);
    CHECK(this->lease->TryGrow(2 * kBudgetBytes) ==
          http::ByteBudget::Grant::kGranted);
  }
  ~FullMemory() {
    this->Free();
    http::SetProcessByteBudget({});
  }
  FullMemory(const FullMemory&) = delete;
  FullMemory& operator=(const FullMemory&) = delete;

  void Free() { this->lease.reset(); }

 private:
  http::ByteLeasePtr lease;
};

TEST_GROUP(RemoteBody){};

TEST(RemoteBody, ALongResponseIsReadWhole) {
  RespondingPeer& peer = RespondingPeer::Get();
  const SubmitResult submitted = peer.Submit(Millis(5'000)).get();
  CHECK(submitted.ok());
  CHECK(submitted.run.outcome == RanWith(peer.body));
}

TEST(RemoteBody, ALongResponseOfAnEarlierAttemptIsReadWhole) {
  RespondingPeer& peer = RespondingPeer::Get();
  const auto answer = peer.Resolve();
  CHECK(answer.ok());
  CHECK(*answer == ResolveAnswer{once::Resolution{RanWith(peer.body)}});
}

// Guards against responses of other hosts that take memory which the process
// does not have.
TEST(RemoteBody, ALongResponseWaitsForMemory) {
  RespondingPeer& peer = RespondingPeer::Get();
  FullMemory memory;
  auto result = peer.Submit(Millis(5'000));
  CHECK(result.wait_for(Millis(300)) == std::future_status::timeout);
  memory.Free();
  const SubmitResult submitted = result.get();
  CHECK(submitted.ok());
  const auto body = std::get<once::Ran>(submitted.run.outcome).response.body;
  CHECK(body.text() == peer.body);
  CHECK(http::ProcessByteBudgetUse().used >= peer.body.size());
}

TEST(RemoteBody, AResponseWithoutMemoryIsAnError) {
  FullMemory memory;
  const SubmitResult submitted =
      RespondingPeer::Get().Submit(Millis(300)).get();
  CHECK(absl::IsResourceExhausted(submitted.status));
  CHECK(submitted.stage == SubmitStage::kNoResult);
}

// Guards against memory that a peer holds which neither reads a response nor
// releases it.
TEST(RemoteBody, AResponseThatIsNotReadIsGivenUp) {
  FullMemory memory;
  EventLoop& loop = RespondingPeer::Get().server_loop;
  std::weak_ptr<http::ByteLease> held;
  std::unique_ptr<wire::Ticket::Client> client;
  loop.PostAndWait([&] {
    const auto lease = http::ByteLease::Take(http::ByteBudget::Kind::kResponse);
    held = lease;
    client = std::make_unique<wire::Ticket::Client>(kj::heap<Ticket>(
        loop,
        RunResult{.outcome =
                      once::Ran{.response = {.body = {"a response", lease}}}},
        Ticket::Options{.lifetime = Millis(200)}));
  });
  CHECK_FALSE(held.expired());
  for (int i = 0; i < 300 && !held.expired(); ++i) {
    std::this_thread::sleep_for(Millis(10));
  }
  CHECK(held.expired());
  loop.PostAndWait([&] { client.reset(); });
}

}  // namespace
}  // namespace kingcupstair::rpc
