#include "components/rpc/peer_clients.h"

#include <utility>

#include <boost/fiber/future.hpp>

#include <capnp/rpc-twoparty.h>

#include "components/base/error.h"
#include "components/rpc/convert.h"
#include "components/rpc/credentials.h"
#include "components/rpc/network.h"

namespace kingcupstair::rpc {
namespace {

/// A connection without any answer for this long is given up: several of the
/// kernel's first retransmissions (200 ms each) fit in, so lost packets alone
/// do not end it.
constexpr Duration kLongestSilence{std::chrono::seconds(1)};

absl::Status FromException(const std::string& host,
                           const char* step,
                           const kj::Exception& error) {
  const bool late = error.getType() == kj::Exception::Type::OVERLOADED;
  return ErrorAt(late ? absl::StatusCode::kDeadlineExceeded
                      : absl::StatusCode::kUnavailable,
                 {.step = step, .peer = host}, error.getDescription().cStr());
}

kj::Duration ToKj(Duration duration) {
  return std::max<int64_t>(0, duration.count()) * kj::MICROSECONDS;
}

template <typename T>
kj::Promise<T> WithTimeout(Loop& loop,
                           kj::Promise<T> promise,
                           Duration timeout) {
  return promise.exclusiveJoin(loop.io()
                                   .provider->getTimer()
                                   .afterDelay(ToKj(timeout))
                                   .then([]() -> kj::Promise<T> {
                                     return KJ_EXCEPTION(OVERLOADED,
                                                         "no answer in time");
                                   }));
}

}  // namespace

/// One connection to a host; dropped as a whole. Calls that wait for it to open
/// may outlive it.
struct PeerClients::Link {
  uint64_t number = 0;
  /// When it was begun, or last brought an answer.
  Instant heard;
  kj::Own<kj::NetworkAddress> address;
  kj::Own<kj::AsyncIoStream> stream;
  kj::Own<capnp::TwoPartyClient> client;
  kj::Maybe<kj::ForkedPromise<wire::Peer::Client>> peer;
};

struct PeerClients::State {
  std::map<std::string, std::shared_ptr<Link>> links;
  uint64_t last_number = 0;
};

PeerClients::PeerClients(Loop& loop, Options options)
    : loop(loop),
      options(std::move(options)),
      state(std::make_unique<State>()) {
  this->loop.PostAndWait([this] {
    this->loop.AtEnd([state = this->state.get()] { state->links.clear(); });
  });
}

PeerClients::~PeerClients() = default;

PeerClients::Link& PeerClients::Connect(const std::string& host) {
  auto& slot = this->state->links[host];
  if (slot != nullptr) {
    return *slot;
  }
  slot = std::make_shared<Link>();
  Link* link = slot.get();
  link->number = ++this->state->last_number;
  link->heard = MonotonicNow();
  const CallerId caller{.host = this->options.own_host,
                        .incarnation = this->options.incarnation,
                        .link = link->number};
  auto enter = [weak = std::weak_ptr(slot), caller,
                key =
                    this->options.fleet_key](kj::Own<kj::AsyncIoStream> stream)
      -> kj::Promise<wire::Peer::Client> {
    const auto link = weak.lock();
    if (link == nullptr) {
      return KJ_EXCEPTION(DISCONNECTED, "given up before it was open");
    }
    link->stream = kj::mv(stream);
    link->client = kj::heap<capnp::TwoPartyClient>(*link->stream);
    auto door = link->client->bootstrap().castAs<wire::Door>();
    return door.challengeRequest().send().then(
        [door, caller, key](auto response) mutable {
          const auto data = response.getNonce();
          const std::string nonce(reinterpret_cast<const char*>(data.begin()),
                                  data.size());
          const std::string proof = ProofOf(key, nonce, caller);
          auto request = door.enterRequest();
          request.setNonce(data);
          request.setProof(capnp::Data::Reader(
              reinterpret_cast<const kj::byte*>(proof.data()), proof.size()));
          auto out = request.initCaller();
          out.setHost(caller.host);
          out.setIncarnation(caller.incarnation);
          out.setLink(caller.link);
          return request.send().then(
              [](auto entered) { return entered.getPeer(); });
        });
  };
  const auto endpoint = ParseEndpoint(host);
  auto address =
      endpoint.ok()
          ? AddressOf(this->loop, *endpoint)
          : absl::StatusOr<kj::Own<kj::NetworkAddress>>(endpoint.status());
  if (!address.ok()) {
    link->peer = kj::Promise<wire::Peer::Client>(
                     KJ_EXCEPTION(FAILED, "the host's name is no address"))
                     .fork();
    return *link;
  }
  link->address = kj::mv(*address);
  link->peer = link->address->connect().then(kj::mv(enter)).fork();
  return *link;
}

void PeerClients::NoteAnswer(const std::string& host, uint64_t number) {
  const auto found = this->state->links.find(host);
  if (found != this->state->links.end() && found->second->number == number) {
    found->second->heard = MonotonicNow();
  }
}

// Dropping the link fails every call that waits on it; each then finds out by
// `resolve` over a fresh connection what became of its request. One late answer
// is no reason to: a fresh connection takes more round trips than the call, so
// on a path that loses packets it would hardly ever come to an answer.
void PeerClients::NoteFailure(const std::string& host,
                              uint64_t number,
                              const kj::Exception& error) {
  const auto found = this->state->links.find(host);
  if (found == this->state->links.end() || found->second->number != number) {
    return;
  }
  const bool late = error.getType() == kj::Exception::Type::OVERLOADED;
  if (late && MonotonicNow() - found->second->heard < kLongestSilence) {
    return;
  }
  std::shared_ptr<Link> dropped = std::move(found->second);
  this->state->links.erase(found);
  this->loop.Post([held = std::move(dropped)]() mutable { held.reset(); });
}

template <typename T, typename Start>
absl::StatusOr<T> PeerClients::Call(const std::string& host,
                                    const char* step,
                                    Duration timeout,
                                    Start start) {
  auto answer = std::make_shared<boost::fibers::promise<absl::StatusOr<T>>>();
  auto future = answer->get_future();
  this->loop.Post([this, host, step, timeout, start, answer] {
    Link& link = this->Connect(host);
    const uint64_t number = link.number;
    auto peer = KJ_ASSERT_NONNULL(link.peer).addBranch();
    kj::Promise<T> call =
        peer.then([start](wire::Peer::Client client) { return start(client); });
    this->loop.Keep(
        WithTimeout(this->loop, kj::mv(call), timeout)
            .then(
                [this, answer, host, number](T value) {
                  this->NoteAnswer(host, number);
                  answer->set_value(std::move(value));
                },
                [this, answer, host, step, number](kj::Exception&& error) {
                  this->NoteFailure(host, number, error);
                  answer->set_value(FromException(host, step, error));
                }));
  });
  return future.get();
}

absl::StatusOr<GossipMessage> PeerClients::Gossip(const std::string& host,
                                                  const GossipMessage& message,
                                                  Duration timeout) {
  return this->Call<GossipMessage>(
      host, "gossip", timeout, [message](wire::Peer::Client& peer) {
        auto request = peer.gossipRequest();
        Write(message, request.initMessage());
        return request.send().then(
            [](auto response) { return Read(response.getMessage()); });
      });
}

absl::StatusOr<SyncAnswer> PeerClients::Sync(
    const std::string& host,
    const std::map<std::string, membership::RecordVersion>& versions,
    Duration timeout) {
  return this->Call<SyncAnswer>(
      host, "sync", timeout, [versions](wire::Peer::Client& peer) {
        auto request = peer.syncRequest();
        Write(versions,
              request.initVersions(static_cast<unsigned>(versions.size())));
        return request.send().then([](auto response) {
          return SyncAnswer{.updates = Read(response.getUpdates()),
                            .wanted = ReadHashes(response.getWanted())};
        });
      });
}

absl::StatusOr<bool> PeerClients::Probe(const std::string& helper,
                                        const std::string& target,
                                        Duration timeout) {
  return this->Call<bool>(
      helper, "probe", timeout, [target](wire::Peer::Client& peer) {
        auto request = peer.probeRequest();
        request.setHost(target);
        return request.send().then(
            [](auto response) { return response.getReached(); });
      });
}

absl::StatusOr<std::string> PeerClients::Head(const std::string& host,
                                              Duration timeout) {
  return this->Call<std::string>(
      host, "head", timeout, [](wire::Peer::Client& peer) {
        return peer.headRequest().send().then([](auto response) {
          return std::string(response.getHead().cStr());
        });
      });
}

absl::StatusOr<std::vector<std::string>> PeerClients::Chunks(
    const std::string& host,
    const std::vector<std::string>& ids,
    Duration timeout) {
  return this->Call<std::vector<std::string>>(
      host, "chunks", timeout, [ids](wire::Peer::Client& peer) {
        auto request = peer.chunksRequest();
        auto out = request.initIds(static_cast<unsigned>(ids.size()));
        for (unsigned i = 0; i < ids.size(); ++i) {
          out.set(i, ids[i]);
        }
        return request.send().then([](auto response) {
          std::vector<std::string> texts;
          for (const auto text : response.getTexts()) {
            texts.emplace_back(text.begin(), text.size());
          }
          return texts;
        });
      });
}

absl::StatusOr<std::vector<limits::LoanGrant>> PeerClients::Lend(
    const std::string& host,
    const std::vector<limits::ShardId>& shards,
    uint64_t mark,
    Duration timeout) {
  return this->Call<std::vector<limits::LoanGrant>>(
      host, "lend", timeout, [shards, mark](wire::Peer::Client& peer) {
        auto request = peer.lendRequest();
        request.setMark(mark);
        auto out = request.initShards(static_cast<unsigned>(shards.size()));
        for (unsigned i = 0; i < shards.size(); ++i) {
          out.set(i, static_cast<uint16_t>(shards[i]));
        }
        return request.send().then([](auto response) {
          std::vector<limits::LoanGrant> grants;
          for (const auto loan : response.getLoans()) {
            grants.push_back(Read(loan));
          }
          return grants;
        });
      });
}

absl::Status PeerClients::GiveBack(const std::string& host,
                                   const ReturnedLoans& returned,
                                   Duration timeout) {
  return this
      ->Call<bool>(
          host, "give back", timeout,
          [returned](wire::Peer::Client& peer) {
            auto request = peer.giveBackRequest();
            request.setLeaving(returned.leaving);
            request.setMark(returned.mark);
            const auto& shards = returned.shards;
            auto out = request.initShards(static_cast<unsigned>(shards.size()));
            for (unsigned i = 0; i < shards.size(); ++i) {
              out.set(i, static_cast<uint16_t>(shards[i]));
            }
            return request.send().then([](auto) { return true; });
          })
      .status();
}

absl::StatusOr<bool> PeerClients::Retry(const std::string& host,
                                        const RetryCall& call,
                                        Duration timeout) {
  return this->Call<bool>(
      host, "retry", timeout, [call](wire::Peer::Client& peer) {
        auto request = peer.retryRequest();
        request.setService(call.service);
        request.setOrganisation(call.organisation);
        request.setUncounted(static_cast<uint32_t>(call.uncounted));
        return request.send().then(
            [](auto response) { return response.getGranted(); });
      });
}

absl::StatusOr<limits::PermitGrant> PeerClients::Acquire(
    const std::string& host,
    const PermitCall& call,
    Duration timeout) {
  return this->Call<limits::PermitGrant>(
      host, "acquire", timeout, [call](wire::Peer::Client& peer) {
        auto request = peer.acquireRequest();
        request.setRelay(call.relay);
        request.setOrganisation(call.organisation);
        request.setService(call.service);
        request.setWanted(static_cast<uint32_t>(call.wanted));
        if (!call.offer.shards.empty()) {
          Write(call.offer, request.initOffer());
        }
        return request.send().then(
            [](auto response) { return Read(response.getGrant()); });
      });
}

absl::StatusOr<ResolveAnswer> PeerClients::Resolve(
    const std::string& host,
    const std::string& request_id,
    uint64_t incarnation,
    Duration timeout) {
  return this->Call<ResolveAnswer>(
      host, "resolve", timeout,
      [request_id, incarnation](wire::Peer::Client& peer) {
        auto request = peer.resolveRequest();
        request.setRequestId(request_id);
        request.setIncarnation(incarnation);
        return request.send().then(
            [](auto response) { return Read(response.getResolution()); });
      });
}

absl::StatusOr<SlotAnswer> PeerClients::Reserve(const std::string& host,
                                                const once::SlotRequest& slot,
                                                Duration timeout) {
  return this->Call<SlotAnswer>(
      host, "reserve", timeout, [slot](wire::Peer::Client& peer) {
        auto request = peer.reserveRequest();
        Write(slot, request.initSlot());
        return request.send().then(
            [](auto response) { return Read(response.getAnswer()); });
      });
}

absl::Status PeerClients::Cancel(const std::string& host,
                                 const std::string& request_id,
                                 uint64_t incarnation,
                                 Duration timeout) {
  return this
      ->Call<bool>(host, "cancel", timeout,
                   [request_id, incarnation](wire::Peer::Client& peer) {
                     auto request = peer.cancelRequest();
                     request.setRequestId(request_id);
                     request.setIncarnation(incarnation);
                     return request.send().then([](auto) { return true; });
                   })
      .status();
}

// `outcome` is called on the ticket before the ticket has come back, so an
// upstream's answer costs one round trip and not two.
SubmitResult PeerClients::Submit(const std::string& host,
                                 const once::RunRequest& run,
                                 Duration accept_timeout,
                                 Duration result_timeout) {
  auto answer = std::make_shared<boost::fibers::promise<SubmitResult>>();
  auto future = answer->get_future();
  this->loop.Post([=, this] {
    Link& link = this->Connect(host);
    const uint64_t number = link.number;
    auto stage = std::make_shared<SubmitStage>(SubmitStage::kNotAccepted);
    auto sent = KJ_ASSERT_NONNULL(link.peer).addBranch().then(
        [this, run, stage, accept_timeout,
         result_timeout](wire::Peer::Client peer) {
          auto request = peer.submitRequest();
          Write(run, request.initRun());
          auto accepted = request.send();
          auto result = accepted.getTicket().outcomeRequest().send();
          kj::Promise<void> word =
              accepted.then([stage](auto) { *stage = SubmitStage::kNoResult; });
          return WithTimeout(this->loop, kj::mv(word), accept_timeout)
              .then([this, result_timeout, result = kj::mv(result)]() mutable {
                kj::Promise<RunResult> read = result.then([](auto response) {
                  const auto load = response.getLoad();
                  return RunResult{
                      .outcome = Read(response.getOutcome()),
                      .report = Read(response.getReport()),
                      .in_flight = static_cast<int>(load.getInFlight()),
                      .queued = static_cast<int>(load.getQueued())};
                });
                return WithTimeout(this->loop, kj::mv(read), result_timeout);
              });
        });
    const Duration whole = accept_timeout + accept_timeout + result_timeout;
    this->loop.Keep(WithTimeout(this->loop, kj::mv(sent), whole)
                        .then(
                            [this, answer, host, number](RunResult run_result) {
                              this->NoteAnswer(host, number);
                              answer->set_value({.run = std::move(run_result)});
                            },
                            [=, this](kj::Exception&& error) {
                              if (*stage == SubmitStage::kNotAccepted) {
                                this->NoteFailure(host, number, error);
                              }
                              answer->set_value({.stage = *stage,
                                                 .status = FromException(
                                                     host, "submit", error)});
                            }));
  });
  return future.get();
}

}  // namespace kingcupstair::rpc
