#include "components/http/server.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/fiber.hpp>

#include <sys/socket.h>

#include "components/base/error.h"
#include "components/fibers/await.h"
#include "components/http/beast_convert.h"

namespace kingcupstair::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using ReusePort =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

constexpr std::chrono::seconds kIdleTimeout{60};
constexpr std::chrono::seconds kWriteTimeout{30};
constexpr std::chrono::milliseconds kAcceptRetryDelay{10};
constexpr int kBadRequest = 400;
constexpr int kPayloadTooLarge = 413;

}  // namespace

struct Server::Shared {
  Options options;
  Handler handler;
  std::atomic<bool> stopping{false};
  std::atomic<bool> accept_stopped{false};
  std::atomic<int> accepting{0};
  std::atomic<int> in_flight{0};
  std::vector<std::shared_ptr<tcp::acceptor>> acceptors;

  void AcceptLoop(std::shared_ptr<tcp::acceptor> acceptor,
                  const std::shared_ptr<Shared>& self);
  static void StartServing(const std::shared_ptr<Shared>& self,
                           tcp::socket socket);
  void Serve(tcp::socket socket);
  bool ServeOne(beast::tcp_stream& stream, beast::flat_buffer& buffer);
  bool Write(beast::tcp_stream& stream,
             const Response& response,
             unsigned version,
             bool keep_alive);
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
  boost::fibers::fiber([self, socket = std::move(socket)]() mutable {
    self->Serve(std::move(socket));
  }).detach();
}

void Server::Shared::Serve(tcp::socket socket) {
  beast::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  while (this->ServeOne(stream, buffer)) {
  }
  stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

bool Server::Shared::ServeOne(beast::tcp_stream& stream,
                              beast::flat_buffer& buffer) {
  beast::http::request_parser<beast::http::string_body> parser;
  parser.body_limit(this->options.max_body_bytes);
  stream.expires_after(kIdleTimeout);
  const auto read = fibers::Await([&](auto handler) {
    beast::http::async_read(stream, buffer, parser, handler);
  });
  stream.expires_never();
  if (read.error == beast::http::error::end_of_stream) {
    return false;
  }
  if (read.error == beast::http::error::body_limit) {
    this->Write(stream, JsonResponse(kPayloadTooLarge, "{}"), 11, false);
    return false;
  }
  if (read.error) {
    if (parser.got_some() && read.error != beast::error::timeout) {
      this->Write(stream, JsonResponse(kBadRequest, "{}"), 11, false);
    }
    return false;
  }
  ++this->in_flight;
  auto message = parser.release();
  const bool keep_alive = message.keep_alive();
  const Request request{.method = std::string(message.method_string()),
                        .target = std::string(message.target()),
                        .headers = FromBeast(message),
                        .body = std::move(message.body())};
  const Response response = this->handler(request);
  if (response.status == kCloseWithoutAnswer) {
    --this->in_flight;
    return false;
  }
  const bool written = this->Write(stream, response, message.version(),
                                   keep_alive && !this->stopping);
  --this->in_flight;
  return written && keep_alive && !this->stopping;
}

bool Server::Shared::Write(beast::tcp_stream& stream,
                           const Response& response,
                           unsigned version,
                           bool keep_alive) {
  beast::http::response<beast::http::string_body> message;
  message.version(version);
  message.result(static_cast<unsigned>(response.status));
  CopyInto(response.headers, message);
  message.body() = response.body;
  message.keep_alive(keep_alive);
  message.prepare_payload();
  stream.expires_after(kWriteTimeout);
  const auto result = fibers::Await([&](auto handler) {
    beast::http::async_write(stream, message, handler);
  });
  stream.expires_never();
  return !result.error;
}

Server::Server(fibers::WorkerPool& workers, Options options, Handler handler)
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
