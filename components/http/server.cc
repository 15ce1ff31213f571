#include "components/http/server.h"

#include <atomic>
#include <deque>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/fiber.hpp>

#include <sys/socket.h>

#include "components/base/error.h"
#include "components/fibers/await.h"
#include "components/http/beast_convert.h"
#include "components/http/request_check.h"

namespace kingcupstair::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using ReusePort =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
using Parser = beast::http::request_parser<beast::http::string_body>;

/// A client that takes no bytes of its answer for this long is given up.
constexpr std::chrono::seconds kWriteTimeout{30};
constexpr std::chrono::milliseconds kAcceptRetryDelay{10};
/// How long the rest of what a client sends is read after the last answer, so
/// that closing does not reset the connection under that answer.
constexpr std::chrono::milliseconds kLingerTime{1000};
/// Requests of one connection that are worked on together.
constexpr size_t kMaxPipelined = 8;
constexpr int kBadRequest = 400;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeaderTooLarge = 431;

int StatusFor(const beast::error_code& error) {
  if (error == beast::http::error::body_limit) {
    return kPayloadTooLarge;
  }
  return error == beast::http::error::header_limit ? kHeaderTooLarge
                                                   : kBadRequest;
}

bool IsSafe(beast::http::verb method) {
  return method == beast::http::verb::get || method == beast::http::verb::head;
}

}  // namespace

struct Server::Shared {
  Options options;
  CancellableHandler handler;
  std::atomic<bool> stopping{false};
  std::atomic<bool> accept_stopped{false};
  std::atomic<int> accepting{0};
  std::atomic<int> in_flight{0};
  std::vector<std::shared_ptr<tcp::acceptor>> acceptors;

  ServerLimits Limits() const {
    return this->options.limits ? this->options.limits() : ServerLimits{};
  }

  void AcceptLoop(std::shared_ptr<tcp::acceptor> acceptor,
                  const std::shared_ptr<Shared>& self);
  static void StartServing(const std::shared_ptr<Shared>& self,
                           tcp::socket socket);
};

/// One connection. Its fibers all run on one thread: the reader, and one for
/// each request that is worked on.
class Server::Conversation
    : public std::enable_shared_from_this<Server::Conversation> {
 public:
  Conversation(std::shared_ptr<Shared> server, tcp::socket socket)
      : server(std::move(server)),
        stream(std::move(socket)),
        idle_timer(this->stream.get_executor()),
        write_timer(this->stream.get_executor()) {}

  /// Reads requests until the connection ends.
  void Read() {
    After after = After::kReadOn;
    while (after == After::kReadOn) {
      after = this->ReadOne();
    }
    if (after == After::kWatch) {
      this->Drain();
    }
    for (const auto& pending : this->queue) {
      pending->cancellation->Cancel();
    }
  }

 private:
  /// What follows when a read has ended.
  enum class After {
    kReadOn,
    kWatch,  ///< Take no further request, but see when the client goes away.
    kStop,
  };

  struct Pending {
    CancellationPtr cancellation = std::make_shared<Cancellation>();
    Response response;
    unsigned version = 11;
    bool keep_alive = true;
    bool head = false;
    bool ready = false;
  };

  After ReadOne() {
    if (this->ending) {
      return After::kWatch;
    }
    const ServerLimits limits = this->server->Limits();
    Parser parser;
    parser.header_limit(static_cast<uint32_t>(limits.header_bytes));
    parser.body_limit(static_cast<uint64_t>(limits.body_bytes));
    this->WatchIdle(limits.idle_timeout);
    const auto read = fibers::Await([&](auto handler) {
      beast::http::async_read(this->stream, this->buffer, parser, handler);
    });
    if (read.error) {
      return this->EndReading(parser, read.error);
    }
    if (this->ending || this->closing) {
      return After::kWatch;
    }
    if (!IsUnambiguous(parser.get(), parser.get().version())) {
      this->Reject(kBadRequest);
      return After::kWatch;
    }
    this->WaitForTurn(parser.get().method());
    if (this->ending || this->closing) {
      return After::kWatch;
    }
    return this->Begin(parser) ? After::kReadOn : After::kWatch;
  }

  After EndReading(const Parser& parser, const beast::error_code& error) {
    const bool gone = error == beast::http::error::end_of_stream ||
                      error == asio::error::operation_aborted ||
                      error.category() == asio::error::get_system_category() ||
                      error == asio::error::eof ||
                      error == beast::http::error::partial_message;
    if (gone || !parser.got_some()) {
      return After::kStop;
    }
    this->Reject(StatusFor(error));
    return After::kWatch;
  }

  // Only requests that change nothing run beside others of their connection:
  // a client repeats what stood behind an answer that closed it.
  void WaitForTurn(beast::http::verb method) {
    const size_t most = IsSafe(method) ? kMaxPipelined : 1;
    while (this->queue.size() >= most && !this->ending) {
      fibers::SleepFor(kTurnPoll);
    }
  }

  bool Begin(Parser& parser) {
    auto pending = std::make_shared<Pending>();
    auto message = parser.release();
    pending->version = message.version();
    pending->keep_alive = message.keep_alive();
    pending->head = message.method() == beast::http::verb::head;
    this->queue.push_back(pending);
    ++this->server->in_flight;
    Request request{.method = std::string(message.method_string()),
                    .target = std::string(message.target()),
                    .headers = FromBeast(message),
                    .body = std::move(message.body())};
    boost::fibers::fiber([self = this->shared_from_this(), pending,
                          request = std::move(request)] {
      pending->response = self->server->handler(request, pending->cancellation);
      pending->ready = true;
      self->Flush();
    }).detach();
    return pending->keep_alive;
  }

  void Reject(int status) {
    auto pending = std::make_shared<Pending>();
    pending->response = JsonResponse(status, "{}");
    pending->keep_alive = false;
    pending->ready = true;
    this->queue.push_back(pending);
    ++this->server->in_flight;
    this->Flush();
  }

  void Flush() {
    if (this->writing) {
      return;
    }
    this->writing = true;
    while (!this->queue.empty() && this->queue.front()->ready) {
      const auto next = this->queue.front();
      const bool last = !next->keep_alive ||
                        (this->server->stopping && this->queue.size() == 1);
      // From here on nothing more is read for an answer: it could not be sent.
      this->closing = this->closing || last;
      const bool written = next->response.status != kCloseWithoutAnswer &&
                           !this->broken && this->Write(*next, !last);
      this->queue.pop_front();
      --this->server->in_flight;
      if (!written) {
        this->Break();
      } else if (last) {
        this->End();
      }
    }
    this->writing = false;
    if (this->queue.empty() && !this->ending) {
      this->WatchIdle(this->server->Limits().idle_timeout);
    }
  }

  bool Write(const Pending& pending, bool keep_alive) {
    beast::http::response<beast::http::string_body> message;
    message.version(pending.version);
    message.result(static_cast<unsigned>(pending.response.status));
    CopyInto(pending.response.headers, message);
    message.body() = pending.response.body;
    message.keep_alive(keep_alive);
    message.prepare_payload();
    if (pending.head) {
      message.body().clear();
    }
    this->WatchWrite();
    const auto result = fibers::Await([&](auto handler) {
      beast::http::async_write(this->stream, message, handler);
    });
    this->write_timer.cancel();
    return !result.error;
  }

  // The stream's own expiry would also apply to the read that is pending, and
  // end a connection on which requests are worked on.
  void WatchWrite() {
    this->write_timer.expires_after(kWriteTimeout);
    this->write_timer.async_wait(
        [weak = this->weak_from_this()](beast::error_code ec) {
          const auto self = weak.lock();
          if (!ec && self != nullptr) {
            self->stream.close();
          }
        });
  }

  // Nothing more is sent; requests behind this point were not read as far as
  // the client is concerned.
  void End() {
    this->ending = true;
    beast::error_code ignored;
    this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    this->idle_timer.expires_after(kLingerTime);
    this->idle_timer.async_wait(
        [weak = this->weak_from_this()](beast::error_code ec) {
          const auto self = weak.lock();
          if (!ec && self != nullptr) {
            self->stream.close();
          }
        });
  }

  void Break() {
    this->broken = true;
    this->ending = true;
    this->stream.close();
    for (const auto& pending : this->queue) {
      pending->cancellation->Cancel();
    }
  }

  // What is read here is thrown away: it stands behind the last answer.
  void Drain() {
    while (!this->broken) {
      this->buffer.consume(this->buffer.size());
      const auto read = fibers::Await([&](auto handler) {
        this->stream.async_read_some(this->buffer.prepare(kDrainBytes),
                                     handler);
      });
      if (read.error) {
        return;
      }
    }
  }

  // The time to the next request counts only while none is worked on, so it
  // can't be the expiry of the read, which is always pending.
  void WatchIdle(Duration idle_time) {
    if (!this->queue.empty()) {
      return;
    }
    this->idle_timer.expires_after(idle_time);
    this->idle_timer.async_wait(
        [weak = this->weak_from_this()](beast::error_code ec) {
          const auto self = weak.lock();
          if (!ec && self != nullptr && self->queue.empty() && !self->ending) {
            self->stream.cancel();
          }
        });
  }

  static constexpr std::chrono::milliseconds kTurnPoll{2};
  static constexpr size_t kDrainBytes = 4096;

  std::shared_ptr<Shared> server;
  beast::tcp_stream stream;
  asio::steady_timer idle_timer;
  asio::steady_timer write_timer;
  beast::flat_buffer buffer;
  std::deque<std::shared_ptr<Pending>> queue;
  bool writing = false;
  bool closing = false;
  bool ending = false;
  bool broken = false;
};

void Server::Shared::AcceptLoop(std::shared_ptr<tcp::acceptor> acceptor,
                                const std::shared_ptr<Shared>& self) {
  while (!this->accept_stopped) {
    tcp::socket socket(*fibers::CurrentIo());
    const auto result = fibers::Await([&](auto handler) {
      acceptor->async_accept(
          socket, [handler](beast::error_code ec) mutable { handler(ec); });
    });
    if (!result.error) {
      StartServing(self, std::move(socket));
    } else if (!this->accept_stopped) {
      fibers::SleepFor(kAcceptRetryDelay);
    }
  }
  // Closing the port would cut the connections that wait to be accepted.
  beast::error_code ec;
  acceptor->non_blocking(true, ec);
  while (true) {
    tcp::socket socket(*fibers::CurrentIo());
    acceptor->accept(socket, ec);
    if (ec) {
      break;
    }
    StartServing(self, std::move(socket));
  }
  acceptor->close(ec);
  --this->accepting;
}

void Server::Shared::StartServing(const std::shared_ptr<Shared>& self,
                                  tcp::socket socket) {
  beast::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const auto conversation =
      std::make_shared<Conversation>(self, std::move(socket));
  boost::fibers::fiber([conversation] { conversation->Read(); }).detach();
}

Server::Server(fibers::WorkerPool& workers, Options options, Handler handler)
    : Server(workers,
             std::move(options),
             CancellableHandler(
                 [handler = std::move(handler)](const Request& request,
                                                const CancellationPtr&) {
                   return handler(request);
                 })) {}

Server::Server(fibers::WorkerPool& workers,
               Options options,
               CancellableHandler handler)
    : workers(workers), shared(std::make_shared<Shared>()) {
  this->shared->options = std::move(options);
  this->shared->handler = std::move(handler);
}

Server::~Server() {
  this->BeginShutdown();
  this->StopAccepting();
}

absl::Status Server::Start() {
  const auto endpoint = ToAsio(this->shared->options.listen);
  for (size_t i = 0; i < this->workers.size(); ++i) {
    auto acceptor = std::make_shared<tcp::acceptor>(this->workers.Io(i));
    beast::error_code ec;
    acceptor->open(endpoint.protocol(), ec);
    acceptor->set_option(tcp::acceptor::reuse_address(true), ec);
    acceptor->set_option(ReusePort(true), ec);
    acceptor->bind(endpoint, ec);
    if (!ec) {
      acceptor->listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
      return ErrorAt(
          absl::StatusCode::kUnavailable,
          {.step = "listen", .peer = ToText(this->shared->options.listen)},
          ec.message());
    }
    this->shared->acceptors.push_back(acceptor);
    ++this->shared->accepting;
    this->workers.SpawnOn(i, [shared = this->shared, acceptor] {
      shared->AcceptLoop(acceptor, shared);
    });
  }
  return absl::OkStatus();
}

void Server::BeginShutdown() {
  this->shared->stopping = true;
}

void Server::StopAccepting() {
  this->shared->accept_stopped = true;
  for (size_t i = 0; i < this->shared->acceptors.size(); ++i) {
    asio::post(this->workers.Io(i), [acceptor = this->shared->acceptors[i]] {
      beast::error_code ignored;
      acceptor->cancel(ignored);
    });
  }
}

int Server::Accepting() const {
  return this->shared->accepting;
}

int Server::InFlight() const {
  return this->shared->in_flight;
}

}  // namespace kingcupstair::http
