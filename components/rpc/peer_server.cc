#include "components/rpc/peer_server.h"

#include <capnp/rpc-twoparty.h>

#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "components/base/cancellation.h"
#include "components/base/error.h"
#include "components/base/hash.h"
#include "components/logging/log.h"
#include "components/rpc/call_timeout.h"
#include "components/rpc/convert.h"
#include "components/rpc/credentials.h"
#include "components/rpc/entry_stream.h"
#include "components/rpc/network.h"
#include "components/rpc/ticket.h"

namespace kingcupstair::rpc {
namespace {

/// If more challenges than this are unused, the oldest one is discarded.
constexpr size_t kMaxUnusedNonces = 1024;
/// Pause after a connection could not be accepted, for want of descriptors for
/// instance.
constexpr Duration kAcceptRetryInterval{std::chrono::milliseconds(100)};
/// How long a result is kept for its sender beyond the time that the request
/// may take.
constexpr Duration kResultGrace{std::chrono::seconds(1)};
/// How long a response is kept for a sender that has asked what became of its
/// request, while the body is read in parts.
constexpr Duration kResolvedBodyLifetime{std::chrono::seconds(10)};

/// Returns the longest body that a sender takes with the outcome.
size_t MaxInlineBytes(uint32_t wire_bytes) {
  return wire_bytes == 0 ? kAnySize : wire_bytes;
}

std::string ToString(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

}  // namespace

struct PeerServer::State {
  Options options;
  PeerHandlers handlers;
  /// The newest connection of each peer, by the peer's host name.
  std::map<std::string, ConnectionId> newest;
  /// Challenges that no `enter` has used yet, oldest first.
  std::deque<std::string> nonces;
  kj::Own<kj::ConnectionReceiver> receiver;
  /// When accepting connections began to fail; nothing while it works.
  std::optional<Instant> accept_failing_since;
};

/// One connection to this server. The server of the RPC library uses the
/// stream.
struct PeerServer::Connection {
  kj::Own<EntryStream> stream;
  kj::Own<capnp::TwoPartyServer> server;
};

/// Implements wire::Peer for one authenticated connection.
class PeerServer::PeerImpl final : public wire::Peer::Server {
 public:
  PeerImpl(EventLoop& loop, State& state, ConnectionId connection)
      : loop(loop),
        state(state),
        connection(std::move(connection)),
        traffic(std::make_shared<HostTraffic>(state.options.traffic,
                                              this->connection.host)) {}

  kj::Promise<void> gossip(GossipContext context) override {
    const GossipMessage reply =
        this->state.handlers.gossip(Read(context.getParams().getMessage()));
    auto out = context.getResults().initMessage();
    Write(reply, out);
    this->traffic->AddGossip(context.getResults(), out.getUpdates());
    return kj::READY_NOW;
  }

  kj::Promise<void> sync(SyncContext context) override {
    const auto versions = Read(context.getParams().getVersions());
    const SyncAnswer answer = this->state.handlers.sync(versions);
    auto results = context.getResults();
    Write(answer.updates,
          results.initUpdates(static_cast<unsigned>(answer.updates.size())));
    WriteHashes(
        answer.wanted,
        results.initWanted(static_cast<unsigned>(answer.wanted.size())));
    // A host that starts leaves its own version out to get back its departures.
    this->traffic->AddMessage(versions.contains(this->connection.host)
                                  ? TrafficPurpose::kRecords
                                  : TrafficPurpose::kDepartures,
                              results);
    return kj::READY_NOW;
  }

  kj::Promise<void> probe(ProbeContext context) override {
    auto [promise, done] = this->MakeReply<bool>();
    this->state.handlers.probe(context.getParams().getHost(), done);
    return promise.then(
        [context, traffic = this->traffic](bool reached) mutable {
          auto results = context.getResults();
          results.setReached(reached);
          traffic->AddMessage(TrafficPurpose::kGossip, results);
        });
  }

  kj::Promise<void> head(HeadContext context) override {
    auto results = context.getResults();
    results.setHead(this->state.handlers.head());
    this->traffic->AddMessage(TrafficPurpose::kConfiguration, results);
    return kj::READY_NOW;
  }

  kj::Promise<void> chunks(ChunksContext context) override {
    std::vector<std::string> ids;
    for (const auto id : context.getParams().getIds()) {
      ids.emplace_back(id.cStr());
    }
    const auto texts = this->state.handlers.chunks(ids);
    auto results = context.getResults();
    auto out = results.initTexts(static_cast<unsigned>(texts.size()));
    for (unsigned i = 0; i < texts.size(); ++i) {
      out.set(i, texts[i]);
    }
    // A call without ids only checks that the connection brings responses.
    this->traffic->AddMessage(
        ids.empty() ? TrafficPurpose::kGossip : TrafficPurpose::kConfiguration,
        results);
    return kj::READY_NOW;
  }

  kj::Promise<void> lend(LendContext context) override {
    const auto shards = context.getParams().getShards();
    auto out = context.getResults().initLoans(shards.size());
    for (unsigned i = 0; i < shards.size(); ++i) {
      if (IsShard(shards[i])) {
        Write(this->state.handlers.lend(shards[i], this->connection.host,
                                        context.getParams().getMark()),
              out[i]);
      }
    }
    this->traffic->AddMessage(TrafficPurpose::kLoans, context.getResults());
    return kj::READY_NOW;
  }

  kj::Promise<void> loanBlock(LoanBlockContext context) override {
    const limits::LoanBlock block =
        this->state.handlers.loan_block(context.getParams().getClearance());
    context.getResults().setToken(block.token);
    context.getResults().setHosts(block.hosts);
    this->traffic->AddMessage(TrafficPurpose::kLoans, context.getResults());
    return kj::READY_NOW;
  }

  kj::Promise<void> dropLoans(DropLoansContext context) override {
    std::vector<std::string> lenders;
    for (const auto lender : context.getParams().getLenders()) {
      lenders.emplace_back(lender.cStr());
    }
    this->state.handlers.drop_loans(lenders);
    return kj::READY_NOW;
  }

  kj::Promise<void> giveBack(GiveBackContext context) override {
    for (const auto shard : context.getParams().getShards()) {
      if (IsShard(shard)) {
        this->state.handlers.return_loans(shard, this->connection.host,
                                          context.getParams().getMark());
      }
    }
    if (context.getParams().getLeaving()) {
      this->state.handlers.pool_host_leaving(this->connection.host);
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> acquire(AcquireContext context) override {
    const auto params = context.getParams();
    auto [promise, done] = this->MakeReply<limits::PermitGrant>();
    this->state.handlers.acquire(
        {.organisation = params.getOrganisation(),
         .service = params.getService(),
         .wanted = static_cast<int>(params.getWanted()),
         .relay = params.getRelay(),
         .offer = Read(params.getOffer()),
         .call_counts = Read(params.getRepeatedCalls())},
        this->connection.host, done);
    return promise.then(
        [context, traffic = this->traffic](limits::PermitGrant grant) mutable {
          auto results = context.getResults();
          Write(grant, results.initGrant());
          traffic->AddMessage(TrafficPurpose::kPermits, results);
        });
  }

  kj::Promise<void> retry(RetryContext context) override {
    const auto params = context.getParams();
    context.getResults().setGranted(this->state.handlers.acquire_retry_token(
        {.organisation = params.getOrganisation(),
         .service = params.getService(),
         .requests_without_permit = static_cast<int>(params.getUncounted()),
         .call_counts = Read(params.getRepeatedCalls())}));
    this->traffic->AddMessage(TrafficPurpose::kPermits, context.getResults());
    return kj::READY_NOW;
  }

  // Refuses a request over a connection that its sender has since replaced: the
  // sender may already have resolved the request as "not run".
  kj::Promise<void> submit(SubmitContext context) override {
    const once::RunRequest request = Read(context.getParams().getRun());
    auto [promise, done] = this->MakeReply<RunResult>();
    if (this->IsReplaced()) {
      done(RunResult{.outcome =
                         once::NotRun{.reason = once::RefusalReason::kFenced}});
    } else {
      this->state.handlers.submit(request, done);
    }
    const uint32_t inline_bytes = context.getParams().getRun().getInlineBytes();
    context.getResults().setTicket(kj::heap<Ticket>(
        this->loop, kj::mv(promise),
        Ticket::Options{.max_inline_bytes = MaxInlineBytes(inline_bytes),
                        .lifetime = request.remaining_time + kResultGrace,
                        .traffic = this->traffic}));
    return kj::READY_NOW;
  }

  // A process that was frozen finds calls that their senders have given up. The
  // library then destroys the promise.
  kj::Promise<void> reserve(ReserveContext context) override {
    auto [promise, done] = this->MakeReply<SlotAnswer>();
    const auto abandoned = std::make_shared<Cancellation>();
    this->state.handlers.reserve(Read(context.getParams().getSlot()), abandoned,
                                 done);
    context.allowCancellation();
    return promise
        .then([context, abandoned,
               traffic = this->traffic](SlotAnswer answer) mutable {
          abandoned->OnCancel({});
          auto results = context.getResults();
          Write(answer, results.initAnswer());
          traffic->AddMessage(TrafficPurpose::kSlot, results);
        })
        .attach(kj::defer([abandoned] { abandoned->Cancel(); }));
  }

  kj::Promise<void> cancel(CancelContext context) override {
    const auto params = context.getParams();
    this->state.handlers.cancel(params.getRequestId(), params.getIncarnation());
    return kj::READY_NOW;
  }

  kj::Promise<void> resolve(ResolveContext context) override {
    const auto params = context.getParams();
    const ResolveAnswer answer = this->state.handlers.resolve(
        params.getRequestId(), params.getIncarnation());
    const size_t max_inline_bytes = MaxInlineBytes(params.getInlineBytes());
    auto results = context.getResults();
    auto resolution = results.initResolution();
    Write(answer, resolution, max_inline_bytes);
    if (resolution.isOutcome() &&
        LeftOutBytes(resolution.getOutcome().asReader()) > 0) {
      results.setTicket(
          kj::heap<Ticket>(this->loop,
                           RunResult{.outcome = std::get<once::Outcome>(
                                         std::get<once::Resolution>(answer))},
                           Ticket::Options{.max_inline_bytes = max_inline_bytes,
                                           .lifetime = kResolvedBodyLifetime,
                                           .traffic = this->traffic}));
    }
    this->traffic->AddMessage(TrafficPurpose::kRun, results);
    return kj::READY_NOW;
  }

 private:
  static bool IsShard(unsigned number) {
    return number < static_cast<unsigned>(limits::kShardCount);
  }

  /// Returns true if the sender has opened a newer connection.
  bool IsReplaced() const {
    return this->connection < this->state.newest[this->connection.host];
  }

  /// Returns a promise of the loop and a function that fulfils the promise. The
  /// function may be called once, from any thread. The fulfiller is destroyed
  /// on the loop's thread, as the RPC library requires.
  template <typename T>
  std::pair<kj::Promise<T>, std::function<void(T)>> MakeReply() {
    auto pair = kj::newPromiseAndFulfiller<T>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<T>>>(
        kj::mv(pair.fulfiller));
    std::function<void(T)> done = [&loop = this->loop, fulfiller](T value) {
      loop.Post([fulfiller, value = std::move(value)]() mutable {
        auto owned = kj::mv(*fulfiller);
        owned->fulfill(std::move(value));
      });
    };
    return {kj::mv(pair.promise), std::move(done)};
  }

  EventLoop& loop;
  State& state;
  ConnectionId connection;
  std::shared_ptr<HostTraffic> traffic;
};

/// Implements wire::Door for one connection, which gives access to wire::Peer
/// to those that prove that they have the fleet key.
class PeerServer::AuthenticatorImpl final : public wire::Door::Server {
 public:
  AuthenticatorImpl(EventLoop& loop,
                    State& state,
                    std::shared_ptr<bool> entered)
      : loop(loop), state(state), entered(std::move(entered)) {}

  kj::Promise<void> challenge(ChallengeContext context) override {
    const std::string nonce = RandomId();
    this->state.nonces.push_back(nonce);
    if (this->state.nonces.size() > kMaxUnusedNonces) {
      this->state.nonces.pop_front();
    }
    context.getResults().setNonce(capnp::Data::Reader(
        reinterpret_cast<const kj::byte*>(nonce.data()), nonce.size()));
    return kj::READY_NOW;
  }

  kj::Promise<void> enter(EnterContext context) override {
    const auto params = context.getParams();
    const std::string nonce = ToString(params.getNonce());
    const auto wire_connection = params.getCaller();
    const ConnectionId connection{
        .host = wire_connection.getHost(),
        .incarnation = wire_connection.getIncarnation(),
        .link = wire_connection.getLink()};
    const bool fresh = std::erase(this->state.nonces, nonce) > 0;
    const bool proved = EqualInConstantTime(
        ToString(params.getProof()),
        ComputeProof(this->state.options.fleet_key, nonce, connection));
    if (!fresh || !proved) {
      return KJ_EXCEPTION(FAILED, "the fleet key was not proved");
    }
    *this->entered = true;
    ConnectionId& newest = this->state.newest[connection.host];
    newest = std::max(newest, connection);
    context.getResults().setPeer(
        kj::heap<PeerImpl>(this->loop, this->state, connection));
    return kj::READY_NOW;
  }

 private:
  EventLoop& loop;
  State& state;
  std::shared_ptr<bool> entered;
};

PeerServer::PeerServer(EventLoop& loop, Options options, PeerHandlers handlers)
    : loop(loop), state(std::make_unique<State>()) {
  this->state->options = std::move(options);
  this->state->handlers = std::move(handlers);
}

PeerServer::~PeerServer() = default;

absl::Status PeerServer::Start() {
  absl::Status status;
  this->loop.PostAndWait([&] {
    const Endpoint& listen = this->state->options.listen;
    auto receiver = ListenOn(this->loop, listen);
    if (!receiver.ok()) {
      status = receiver.status();
      return;
    }
    this->state->receiver = kj::mv(*receiver);
    this->loop.AddTask(this->AcceptAll());
    this->loop.RunAtExit(
        [state = this->state.get()] { state->receiver = nullptr; });
  });
  return status;
}

// The library throws the error of a connection that is ready to be accepted.
kj::Promise<void> PeerServer::AcceptAll() {
  auto accepted =
      kj::evalNow([this] { return this->state->receiver->accept(); });
  return accepted.then(
      [this](kj::Own<kj::AsyncIoStream> stream) {
        this->RecordAccept(absl::OkStatus());
        this->loop.AddTask(this->Serve(kj::mv(stream)));
        return this->AcceptAll();
      },
      [this](kj::Exception&& error) {
        this->RecordAccept(FromException(ToText(this->state->options.listen),
                                         "accept", error));
        return this->loop.io()
            .provider->getTimer()
            .afterDelay(ToKj(kAcceptRetryInterval))
            .then([this] { return this->AcceptAll(); });
      });
}

// A series of failures is logged at its beginning and at its end.
void PeerServer::RecordAccept(const absl::Status& status) {
  auto& failing_since = this->state->accept_failing_since;
  if (status.ok() == !failing_since.has_value()) {
    return;
  }
  if (!status.ok()) {
    failing_since = MonotonicNow();
    logging::Write(logging::Level::kWarning,
                   "no connections of peers are accepted",
                   {{.name = "step", .value = OriginOf(status).step},
                    {.name = "peer", .value = OriginOf(status).peer},
                    {.name = "error", .value = MessageOf(status)}});
    return;
  }
  const Duration failed_for = MonotonicNow() - *failing_since;
  failing_since.reset();
  logging::Write(
      logging::Level::kWarning, "connections of peers are accepted again",
      {{.name = "failed_ms",
        .value = std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(failed_for)
                .count())}});
}

kj::Promise<void> PeerServer::Serve(kj::Own<kj::AsyncIoStream> stream) {
  const auto entered = std::make_shared<bool>(false);
  auto connection = kj::heap<Connection>();
  connection->stream = kj::heap<EntryStream>(kj::mv(stream), entered);
  connection->server = kj::heap<capnp::TwoPartyServer>(
      kj::heap<AuthenticatorImpl>(this->loop, *this->state, entered));
  auto too_late =
      this->loop.io()
          .provider->getTimer()
          .afterDelay(this->state->options.max_entry_time.count() *
                      kj::MICROSECONDS)
          .then([entered]() -> kj::Promise<void> {
            if (*entered) {
              return kj::NEVER_DONE;
            }
            logging::Write(
                logging::Level::kWarning,
                "a connection to the peers' port was closed: no proof of the "
                "fleet key in time",
                {});
            return kj::READY_NOW;
          });
  return connection->server->accept(*connection->stream)
      .exclusiveJoin(kj::mv(too_late))
      .attach(kj::mv(connection));
}

}  // namespace kingcupstair::rpc
