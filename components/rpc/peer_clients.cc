#include "components/rpc/peer_clients.h"

#include <utility>

#include <boost/fiber/future.hpp>

#include <capnp/rpc-twoparty.h>

#include "components/rpc/call_timeout.h"
#include "components/rpc/convert.h"
#include "components/rpc/credentials.h"
#include "components/rpc/network.h"
#include "components/rpc/remote_body.h"

namespace kingcupstair::rpc {
namespace {

/// A connection without any response for this long is closed after a timeout.
/// Several of the kernel's first retransmissions (200 ms each) fit into this
/// time, so lost packets alone do not close the connection.
constexpr Duration kSilenceTimeout{std::chrono::seconds(1)};
/// The same if the host responds over another connection meanwhile: then only
/// the first retransmission may still be under way.
constexpr Duration kSilenceWhileReachable{std::chrono::milliseconds(200)};
/// Interval at which a connection with runs that await their results is checked
/// for responses.
constexpr Duration kWatchInterval{std::chrono::milliseconds(250)};
/// Consecutive checks without a response after which the host is called, and
/// after which the connection is closed. Silence is counted in checks, and at
/// most one check follows a late wake-up of this process.
constexpr int kQuietChecksBeforeCall = 2;
constexpr int kQuietChecksBeforeClose = 6;

/// Largest response body that a host sends with the outcome of a run. A longer
/// one is read in parts, as the process has memory for them.
constexpr uint32_t kInlineBodyBytes = 64 * 1024;

/// Returns the body that was left out of `outcome`, or null. Only for the
/// loop's thread.
std::unique_ptr<RemoteBody> LeftOutBody(EventLoop& loop,
                                        wire::Outcome::Reader outcome,
                                        wire::Ticket::Client ticket,
                                        const std::string& host,
                                        std::shared_ptr<HostTraffic> traffic) {
  const size_t bytes = LeftOutBytes(outcome);
  return bytes == 0 ? nullptr
                    : std::make_unique<RemoteBody>(
                          loop, kj::mv(ticket),
                          RemoteBody::Options{.host = host,
                                              .bytes = bytes,
                                              .traffic = std::move(traffic)});
}

/// Reads the body that was left out of `outcome`.
absl::Status Complete(once::Outcome& outcome,
                      RemoteBody& left_out,
                      Duration timeout) {
  auto body = left_out.Read(timeout);
  if (!body.ok()) {
    return body.status();
  }
  std::get<once::Ran>(outcome).response.body = *std::move(body);
  return absl::OkStatus();
}

}  // namespace

/// One connection to a host. Its members are destroyed together. A call that
/// waits for the connection to open may outlive the link.
struct PeerClients::Link {
  /// Number of the connection, sent as `link` in the connection's proof.
  uint64_t number = 0;
  /// Time of the last response, at first the time at which the connection was
  /// begun.
  Instant last_response_at;
  /// Accepted runs that await their results.
  int awaited_results = 0;
  bool is_watched = false;
  /// Consecutive checks without a response.
  int quiet_checks = 0;
  std::shared_ptr<HostTraffic> traffic;
  kj::Own<kj::NetworkAddress> address;
  kj::Own<kj::AsyncIoStream> stream;
  kj::Own<capnp::TwoPartyClient> client;
  kj::Maybe<kj::ForkedPromise<wire::Peer::Client>> peer;
};

struct PeerClients::State {
  /// The open or opening connection to each host, by host name.
  std::map<std::string, std::shared_ptr<Link>> links;
  uint64_t last_number = 0;
};

PeerClients::PeerClients(EventLoop& loop, Options options)
    : loop(loop),
      options(std::move(options)),
      state(std::make_unique<State>()) {
  this->loop.PostAndWait([this] {
    this->loop.RunAtExit([state = this->state.get()] { state->links.clear(); });
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
  link->last_response_at = MonotonicNow();
  link->traffic = std::make_shared<HostTraffic>(this->options.traffic, host);
  const ConnectionId connection{.host = this->options.own_host,
                                .incarnation = this->options.incarnation,
                                .link = link->number};
  auto enter = [weak = std::weak_ptr(slot), connection,
                key =
                    this->options.fleet_key](kj::Own<kj::AsyncIoStream> stream)
      -> kj::Promise<wire::Peer::Client> {
    const auto link = weak.lock();
    if (link == nullptr) {
      return KJ_EXCEPTION(DISCONNECTED, "given up before it was open");
    }
    link->stream = kj::mv(stream);
    link->client = kj::heap<capnp::TwoPartyClient>(*link->stream);
    auto authenticator = link->client->bootstrap().castAs<wire::Door>();
    return authenticator.challengeRequest().send().then(
        [authenticator, connection, key](auto response) mutable {
          const auto data = response.getNonce();
          const std::string nonce(reinterpret_cast<const char*>(data.begin()),
                                  data.size());
          const std::string proof = ComputeProof(key, nonce, connection);
          auto request = authenticator.enterRequest();
          request.setNonce(data);
          request.setProof(capnp::Data::Reader(
              reinterpret_cast<const kj::byte*>(proof.data()), proof.size()));
          auto out = request.initCaller();
          out.setHost(connection.host);
          out.setIncarnation(connection.incarnation);
          out.setLink(connection.link);
          return request.send().then(
              [](auto entered) { return entered.getPeer(); });
        });
  };
  const auto endpoint = ParseEndpoint(host);
  auto address =
      endpoint.ok()
          ? ToNetworkAddress(this->loop, *endpoint)
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

void PeerClients::RecordResponse(const std::string& host, uint64_t number) {
  const auto found = this->state->links.find(host);
  if (found != this->state->links.end() && found->second->number == number) {
    found->second->last_response_at = MonotonicNow();
    found->second->quiet_checks = 0;
  }
}

// Destroying the link fails every call that waits on it. Each such call then
// finds out by `resolve` over a new connection what became of its request. One
// timeout does not destroy the link: a new connection takes more round trips
// than the call, so on a path that loses packets hardly any call would get a
// response.
void PeerClients::RecordFailure(const std::string& host,
                                uint64_t number,
                                const kj::Exception& error) {
  const auto found = this->state->links.find(host);
  if (found == this->state->links.end() || found->second->number != number) {
    return;
  }
  const bool timed_out = error.getType() == kj::Exception::Type::OVERLOADED;
  if (timed_out &&
      MonotonicNow() - found->second->last_response_at < kSilenceTimeout) {
    return;
  }
  this->CloseLink(host);
}

void PeerClients::CloseLink(const std::string& host) {
  const auto found = this->state->links.find(host);
  std::shared_ptr<Link> dropped = std::move(found->second);
  this->state->links.erase(found);
  this->loop.Post([held = std::move(dropped)]() mutable { held.reset(); });
}

void PeerClients::AwaitResult(const std::string& host,
                              const std::shared_ptr<Link>& link) {
  if (link == nullptr) {
    return;
  }
  ++link->awaited_results;
  if (!link->is_watched) {
    this->Watch(host, link);
  }
}

void PeerClients::StopAwaiting(const std::shared_ptr<Link>& link) {
  if (link != nullptr) {
    --link->awaited_results;
  }
}

// A connection on which packets vanish brings no error. Without a check, a run
// would wait for its result until its timeout, although the host may have the
// result and a new connection would bring it. The host is called only if other
// calls bring no responses.
void PeerClients::Watch(const std::string& host,
                        const std::shared_ptr<Link>& link) {
  link->is_watched = true;
  link->quiet_checks = 0;
  this->ScheduleCheck(host, link);
}

void PeerClients::ScheduleCheck(const std::string& host,
                                const std::weak_ptr<Link>& link) {
  this->loop.AddTask(
      this->loop.io()
          .provider->getTimer()
          .afterDelay(ToKj(kWatchInterval))
          .then([this, host, link] { this->CheckLink(host, link.lock()); }));
}

void PeerClients::CheckLink(const std::string& host,
                            const std::shared_ptr<Link>& link) {
  const auto found = this->state->links.find(host);
  if (link == nullptr || found == this->state->links.end() ||
      found->second != link) {
    return;
  }
  if (link->awaited_results == 0) {
    link->is_watched = false;
    return;
  }
  ++link->quiet_checks;
  if (link->quiet_checks >= kQuietChecksBeforeClose) {
    this->CloseLink(host);
    return;
  }
  if (link->quiet_checks == kQuietChecksBeforeCall) {
    this->CallForResponse(host, *link);
  }
  this->ScheduleCheck(host, link);
}

// Reads no chunk, which is the least that a host can be called for.
void PeerClients::CallForResponse(const std::string& host, Link& link) {
  this->loop.AddTask(
      KJ_ASSERT_NONNULL(link.peer)
          .addBranch()
          .then([traffic = link.traffic](wire::Peer::Client peer) {
            auto request = peer.chunksRequest();
            traffic->AddMessage(TrafficPurpose::kGossip, request);
            return request.send().ignoreResult();
          })
          .then([this, host,
                 number = link.number] { this->RecordResponse(host, number); },
                [](kj::Exception&&) {}));
}

template <typename T, typename Start>
absl::StatusOr<T> PeerClients::Call(const std::string& host,
                                    const char* step,
                                    Duration timeout,
                                    Start start) {
  auto reply = std::make_shared<boost::fibers::promise<absl::StatusOr<T>>>();
  auto future = reply->get_future();
  this->loop.Post([this, host, step, timeout, start, reply] {
    Link& link = this->Connect(host);
    const uint64_t number = link.number;
    auto peer = KJ_ASSERT_NONNULL(link.peer).addBranch();
    kj::Promise<T> call =
        peer.then([start, traffic = link.traffic](wire::Peer::Client client) {
          return start(client, traffic);
        });
    this->loop.AddTask(
        WithTimeout(this->loop, kj::mv(call), timeout)
            .then(
                [this, reply, host, number](T value) {
                  this->RecordResponse(host, number);
                  reply->set_value(std::move(value));
                },
                [this, reply, host, step, number](kj::Exception&& error) {
                  this->RecordFailure(host, number, error);
                  reply->set_value(FromException(host, step, error));
                }));
  });
  return future.get();
}

absl::StatusOr<GossipMessage> PeerClients::Gossip(const std::string& host,
                                                  const GossipMessage& message,
                                                  Duration timeout) {
  return this->Call<GossipMessage>(
      host, "gossip", timeout,
      [message](wire::Peer::Client& peer,
                const std::shared_ptr<HostTraffic>& traffic) {
        auto request = peer.gossipRequest();
        auto out = request.initMessage();
        Write(message, out);
        traffic->AddGossip(request, out.getUpdates());
        return request.send().then(
            [](auto response) { return Read(response.getMessage()); });
      });
}

// The connection is not entered: that would put an end to runs over the present
// one, which may be as good.
bool PeerClients::RespondsOverNewConnection(const std::string& host,
                                            Duration timeout) {
  struct Check {
    kj::Own<kj::NetworkAddress> address;
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyClient> client;
  };
  const auto endpoint = ParseEndpoint(host);
  if (!endpoint.ok()) {
    return false;
  }
  auto reply = std::make_shared<boost::fibers::promise<bool>>();
  auto future = reply->get_future();
  this->loop.Post([this, host, endpoint = *endpoint, timeout, reply] {
    auto address = ToNetworkAddress(this->loop, endpoint);
    if (!address.ok()) {
      reply->set_value(false);
      return;
    }
    auto check = kj::heap<Check>();
    check->address = kj::mv(*address);
    kj::Promise<void> challenged = check->address->connect().then(
        [check = check.get()](kj::Own<kj::AsyncIoStream> stream) {
          check->stream = kj::mv(stream);
          check->client = kj::heap<capnp::TwoPartyClient>(*check->stream);
          return check->client->bootstrap()
              .castAs<wire::Door>()
              .challengeRequest()
              .send()
              .ignoreResult();
        });
    this->loop.AddTask(
        WithTimeout(this->loop, kj::mv(challenged), timeout)
            .attach(kj::mv(check))
            .then(
                [this, host, reply] {
                  const auto found = this->state->links.find(host);
                  if (found != this->state->links.end() &&
                      MonotonicNow() - found->second->last_response_at >=
                          kSilenceWhileReachable) {
                    this->CloseLink(host);
                  }
                  reply->set_value(true);
                },
                [reply](kj::Exception&&) { reply->set_value(false); }));
  });
  return future.get();
}

absl::StatusOr<SyncAnswer> PeerClients::Sync(
    const std::string& host,
    const std::map<std::string, membership::RecordVersion>& versions,
    Duration timeout,
    TrafficPurpose purpose) {
  return this->Call<SyncAnswer>(
      host, "sync", timeout,
      [versions, purpose](wire::Peer::Client& peer,
                          const std::shared_ptr<HostTraffic>& traffic) {
        auto request = peer.syncRequest();
        Write(versions,
              request.initVersions(static_cast<unsigned>(versions.size())));
        traffic->AddMessage(purpose, request);
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
      helper, "probe", timeout,
      [target](wire::Peer::Client& peer,
               const std::shared_ptr<HostTraffic>& traffic) {
        auto request = peer.probeRequest();
        request.setHost(target);
        traffic->AddMessage(TrafficPurpose::kGossip, request);
        return request.send().then(
            [](auto response) { return response.getReached(); });
      });
}

absl::StatusOr<std::string> PeerClients::Head(const std::string& host,
                                              Duration timeout) {
  return this->Call<std::string>(
      host, "head", timeout,
      [](wire::Peer::Client& peer,
         const std::shared_ptr<HostTraffic>& traffic) {
        auto request = peer.headRequest();
        traffic->AddMessage(TrafficPurpose::kConfiguration, request);
        return request.send().then([](auto response) {
          return std::string(response.getHead().cStr());
        });
      });
}

absl::StatusOr<std::vector<std::string>> PeerClients::Chunks(
    const std::string& host,
    const std::vector<std::string>& ids,
    Duration timeout) {
  return this->Call<std::vector<std::string>>(
      host, "chunks", timeout,
      [ids](wire::Peer::Client& peer,
            const std::shared_ptr<HostTraffic>& traffic) {
        auto request = peer.chunksRequest();
        auto out = request.initIds(static_cast<unsigned>(ids.size()));
        for (unsigned i = 0; i < ids.size(); ++i) {
          out.set(i, ids[i]);
        }
        traffic->AddMessage(TrafficPurpose::kConfiguration, request);
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
    uint64_t loan_sequence_number,
    Duration timeout) {
  return this->Call<std::vector<limits::LoanGrant>>(
      host, "lend", timeout,
      [shards, loan_sequence_number](
          wire::Peer::Client& peer,
          const std::shared_ptr<HostTraffic>& traffic) {
        auto request = peer.lendRequest();
        request.setMark(loan_sequence_number);
        auto out = request.initShards(static_cast<unsigned>(shards.size()));
        for (unsigned i = 0; i < shards.size(); ++i) {
          out.set(i, static_cast<uint16_t>(shards[i]));
        }
        traffic->AddMessage(TrafficPurpose::kLoans, request);
        return request.send().then([](auto response) {
          std::vector<limits::LoanGrant> grants;
          for (const auto loan : response.getLoans()) {
            grants.push_back(Read(loan));
          }
          return grants;
        });
      });
}

absl::StatusOr<limits::LoanBlock> PeerClients::LoanBlock(
    const std::string& host,
    uint64_t clearance,
    Duration timeout) {
  return this->Call<limits::LoanBlock>(
      host, "loan block", timeout,
      [clearance](wire::Peer::Client& peer,
                  const std::shared_ptr<HostTraffic>& traffic) {
        auto request = peer.loanBlockRequest();
        request.setClearance(clearance);
        traffic->AddMessage(TrafficPurpose::kLoans, request);
        return request.send().then([](auto response) {
          return limits::LoanBlock{.token = response.getToken(),
                                   .hosts = response.getHosts()};
        });
      });
}

absl::Status PeerClients::DropLoans(const std::string& host,
                                    const std::vector<std::string>& lenders,
                                    Duration timeout) {
  return this
      ->Call<bool>(host, "drop loans", timeout,
                   [lenders](wire::Peer::Client& peer,
                             const std::shared_ptr<HostTraffic>& traffic) {
                     auto request = peer.dropLoansRequest();
                     auto out = request.initLenders(
                         static_cast<unsigned>(lenders.size()));
                     for (unsigned i = 0; i < lenders.size(); ++i) {
                       out.set(i, lenders[i]);
                     }
                     traffic->AddMessage(TrafficPurpose::kLoans, request);
                     return request.send().then([](auto) { return true; });
                   })
      .status();
}

absl::Status PeerClients::ReturnLoans(const std::string& host,
                                      const ReturnedLoans& returned,
                                      Duration timeout) {
  return this
      ->Call<bool>(
          host, "give back", timeout,
          [returned](wire::Peer::Client& peer,
                     const std::shared_ptr<HostTraffic>& traffic) {
            auto request = peer.giveBackRequest();
            request.setLeaving(returned.leaving);
            request.setMark(returned.loan_sequence_number);
            const auto& shards = returned.shards;
            auto out = request.initShards(static_cast<unsigned>(shards.size()));
            for (unsigned i = 0; i < shards.size(); ++i) {
              out.set(i, static_cast<uint16_t>(shards[i]));
            }
            traffic->AddMessage(TrafficPurpose::kLoans, request);
            return request.send().then([](auto) { return true; });
          })
      .status();
}

absl::StatusOr<bool> PeerClients::AcquireRetryToken(
    const std::string& host,
    const RetryTokenRequest& call,
    Duration timeout) {
  return this->Call<bool>(
      host, "retry", timeout,
      [call](wire::Peer::Client& peer,
             const std::shared_ptr<HostTraffic>& traffic) {
        auto request = peer.retryRequest();
        request.setService(call.service);
        request.setOrganisation(call.organisation);
        request.setUncounted(
            static_cast<uint32_t>(call.requests_without_permit));
        Write(call.call_counts, request.initRepeatedCalls(static_cast<unsigned>(
                                    call.call_counts.size())));
        traffic->AddMessage(TrafficPurpose::kPermits, request);
        return request.send().then(
            [](auto response) { return response.getGranted(); });
      });
}

absl::StatusOr<limits::PermitGrant> PeerClients::Acquire(
    const std::string& host,
    const PermitRequest& call,
    Duration timeout) {
  return this->Call<limits::PermitGrant>(
      host, "acquire", timeout,
      [call](wire::Peer::Client& peer,
             const std::shared_ptr<HostTraffic>& traffic) {
        auto request = peer.acquireRequest();
        request.setRelay(call.relay);
        request.setOrganisation(call.organisation);
        request.setService(call.service);
        request.setWanted(static_cast<uint32_t>(call.wanted));
        if (!call.offer.shards.empty()) {
          Write(call.offer, request.initOffer());
        }
        Write(call.call_counts, request.initRepeatedCalls(static_cast<unsigned>(
                                    call.call_counts.size())));
        traffic->AddMessage(TrafficPurpose::kPermits, request);
        return request.send().then(
            [](auto response) { return Read(response.getGrant()); });
      });
}

absl::StatusOr<ResolveAnswer> PeerClients::Resolve(
    const std::string& host,
    const std::string& request_id,
    uint64_t incarnation,
    Duration timeout,
    Duration body_timeout) {
  struct Reply {
    ResolveAnswer answer;
    std::unique_ptr<RemoteBody> left_out;
  };
  auto reply = this->Call<Reply>(
      host, "resolve", timeout,
      [this, host, request_id, incarnation](
          wire::Peer::Client& peer,
          const std::shared_ptr<HostTraffic>& traffic) {
        auto request = peer.resolveRequest();
        request.setRequestId(request_id);
        request.setIncarnation(incarnation);
        request.setInlineBytes(kInlineBodyBytes);
        traffic->AddMessage(TrafficPurpose::kRun, request);
        return request.send().then([this, host, traffic](auto response) {
          const auto resolution = response.getResolution();
          Reply reply{.answer = Read(resolution)};
          if (resolution.isOutcome()) {
            reply.left_out = LeftOutBody(this->loop, resolution.getOutcome(),
                                         response.getTicket(), host, traffic);
          }
          return reply;
        });
      });
  if (!reply.ok()) {
    return reply.status();
  }
  if (reply->left_out != nullptr) {
    auto& outcome =
        std::get<once::Outcome>(std::get<once::Resolution>(reply->answer));
    const auto status = Complete(outcome, *reply->left_out, body_timeout);
    if (!status.ok()) {
      return status;
    }
  }
  return std::move(reply->answer);
}

absl::StatusOr<SlotAnswer> PeerClients::Reserve(const std::string& host,
                                                const once::SlotRequest& slot,
                                                Duration timeout) {
  return this->Call<SlotAnswer>(
      host, "reserve", timeout,
      [slot](wire::Peer::Client& peer,
             const std::shared_ptr<HostTraffic>& traffic) {
        auto request = peer.reserveRequest();
        Write(slot, request.initSlot());
        traffic->AddMessage(TrafficPurpose::kSlot, request);
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
                   [request_id, incarnation](
                       wire::Peer::Client& peer,
                       const std::shared_ptr<HostTraffic>& traffic) {
                     auto request = peer.cancelRequest();
                     request.setRequestId(request_id);
                     request.setIncarnation(incarnation);
                     traffic->AddMessage(TrafficPurpose::kRun, request);
                     return request.send().then([](auto) { return true; });
                   })
      .status();
}

// Calls `outcome` on the promised ticket before the ticket has arrived (promise
// pipelining), so the result of a run costs one round trip instead of two.
SubmitResult PeerClients::Submit(const std::string& host,
                                 const once::RunRequest& run,
                                 Duration accept_timeout,
                                 Duration result_timeout) {
  struct Reply {
    SubmitResult result;
    std::unique_ptr<RemoteBody> left_out;
  };
  struct Ended {
    RunResult run;
    std::unique_ptr<RemoteBody> left_out;
  };
  const Instant deadline = MonotonicNow() + run.remaining_time;
  auto promise = std::make_shared<boost::fibers::promise<Reply>>();
  auto future = promise->get_future();
  this->loop.Post([=, this] {
    Link& link = this->Connect(host);
    const uint64_t number = link.number;
    const std::weak_ptr<Link> weak = this->state->links[host];
    auto stage = std::make_shared<SubmitStage>(SubmitStage::kNotAccepted);
    auto sent = KJ_ASSERT_NONNULL(link.peer).addBranch().then(
        [=, this, traffic = link.traffic](wire::Peer::Client peer) {
          auto request = peer.submitRequest();
          auto out = request.initRun();
          Write(run, out);
          out.setInlineBytes(kInlineBodyBytes);
          traffic->AddMessage(TrafficPurpose::kRun, request);
          auto accepted = request.send();
          wire::Ticket::Client ticket = accepted.getTicket();
          auto result = ticket.outcomeRequest().send();
          kj::Promise<void> acceptance =
              accepted.then([this, host, number, weak, stage](auto) {
                *stage = SubmitStage::kNoResult;
                this->RecordResponse(host, number);
                this->AwaitResult(host, weak.lock());
              });
          return WithTimeout(this->loop, kj::mv(acceptance), accept_timeout)
              .then([=, this, result = kj::mv(result),
                     ticket = kj::mv(ticket)]() mutable {
                kj::Promise<Ended> read = result.then(
                    [=, this, ticket = kj::mv(ticket)](auto response) mutable {
                      const auto load = response.getLoad();
                      return Ended{
                          .run = {.outcome = Read(response.getOutcome()),
                                  .report = Read(response.getReport()),
                                  .in_flight =
                                      static_cast<int>(load.getInFlight()),
                                  .queued = static_cast<int>(load.getQueued())},
                          .left_out =
                              LeftOutBody(this->loop, response.getOutcome(),
                                          kj::mv(ticket), host, traffic)};
                    });
                return WithTimeout(this->loop, kj::mv(read), result_timeout);
              });
        });
    const Duration total_timeout =
        accept_timeout + accept_timeout + result_timeout;
    this->loop.AddTask(
        WithTimeout(this->loop, kj::mv(sent), total_timeout)
            .then(
                [this, promise, host, number, weak](Ended ended) {
                  this->RecordResponse(host, number);
                  StopAwaiting(weak.lock());
                  promise->set_value({.result = {.run = std::move(ended.run)},
                                      .left_out = std::move(ended.left_out)});
                },
                [=, this](kj::Exception&& error) {
                  if (*stage == SubmitStage::kNotAccepted) {
                    this->RecordFailure(host, number, error);
                  } else {
                    StopAwaiting(weak.lock());
                  }
                  promise->set_value({.result = {.stage = *stage,
                                                 .status = FromException(
                                                     host, "submit", error)}});
                }));
  });
  Reply reply = future.get();
  if (reply.left_out != nullptr) {
    const auto status = Complete(reply.result.run.outcome, *reply.left_out,
                                 deadline - MonotonicNow());
    if (!status.ok()) {
      return {.stage = SubmitStage::kNoResult, .status = status};
    }
  }
  return std::move(reply.result);
}

}  // namespace kingcupstair::rpc
