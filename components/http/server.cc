#include "components/http/server.h"

#include <mutex>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <sys/socket.h>

#include "components/base/error.h"
#include "components/fibers/await.h"
#include "components/fibers/boundary.h"
#include "components/fibers/worker_pool.h"
#include "components/http/beast_convert.h"
#include "components/http/byte_lease.h"
#include "components/http/server_connection.h"
#include "components/http/server_state.h"

namespace kingcupstair::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using ReusePort =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

constexpr std::chrono::milliseconds kAcceptRetryDelay{10};
constexpr int kSocketBufferBytes = 64 * 1024;

}  // namespace

struct Server::Shared : ServerState {
  /// Accept loops that still run.
  std::atomic<int> accepting{0};
  std::vector<std::shared_ptr<tcp::acceptor>> acceptors;
  std::mutex mutex;
  std::vector<std::weak_ptr<ServerConnection>> connections;

  /// Adds a connection, and removes those that have ended.
  void Register(const std::shared_ptr<ServerConnection>& connection);
  /// Closes the connection that has been without a request in progress for the
  /// longest time. Returns false if there is none.
  bool EndLongestIdle();
  /// Closes the connections that have no request in progress.
  void EndIdleConnections();

  void AcceptLoop(std::shared_ptr<tcp::acceptor> acceptor,
                  const std::shared_ptr<Shared>& self);
  static void StartServing(const std::shared_ptr<Shared>& self,
                           tcp::socket socket);
};

void Server::Shared::AcceptLoop(std::shared_ptr<tcp::acceptor> acceptor,
                                const std::shared_ptr<Shared>& self) {
  while (!this->accept_stopped) {
    tcp::socket socket(*fibers::CurrentIoContext());
    const auto result = fibers::Await([&](auto handler) {
      acceptor->async_accept(
          socket, [handler](beast::error_code ec) mutable { handler(ec); });
    });
    if (!result.error) {
      StartServing(self, std::move(socket));
    } else if (!this->accept_stopped) {
      if (result.error == asio::error::no_descriptors) {
        this->EndLongestIdle();
      }
      fibers::SleepFor(kAcceptRetryDelay);
    }
  }
  // Closing the listening socket would reset the connections that are still in
  // the accept queue.
  beast::error_code ec;
  acceptor->non_blocking(true, ec);
  while (true) {
    tcp::socket socket(*fibers::CurrentIoContext());
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
  const int limit = self->options.max_connections;
  if (limit > 0 && self->open_connections >= limit && !self->EndLongestIdle()) {
    return;
  }
  beast::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const auto connection =
      std::make_shared<ServerConnection>(self, std::move(socket));
  self->Register(connection);
  fibers::Launch("serve a connection",
                 [connection] { connection->ReadRequests(); });
}

void Server::Shared::Register(
    const std::shared_ptr<ServerConnection>& connection) {
  const std::lock_guard lock(this->mutex);
  if (this->connections.size() == this->connections.capacity()) {
    std::erase_if(this->connections,
                  [](const auto& each) { return each.expired(); });
  }
  this->connections.push_back(connection);
}

bool Server::Shared::EndLongestIdle() {
  const std::lock_guard lock(this->mutex);
  std::shared_ptr<ServerConnection> longest;
  Instant longest_since = Instant::max();
  for (const std::weak_ptr<ServerConnection>& each : this->connections) {
    auto connection = each.lock();
    const auto since =
        connection == nullptr ? std::nullopt : connection->IdleSince();
    if (since.has_value() && *since < longest_since) {
      longest_since = *since;
      longest = std::move(connection);
    }
  }
  if (longest != nullptr) {
    longest->EndUnlessInProgress();
  }
  return longest != nullptr;
}

void Server::Shared::EndIdleConnections() {
  const std::lock_guard lock(this->mutex);
  for (const std::weak_ptr<ServerConnection>& each : this->connections) {
    if (const auto connection = each.lock()) {
      connection->EndIfIdle();
    }
  }
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
    auto acceptor = std::make_shared<tcp::acceptor>(this->workers.IoContext(i));
    beast::error_code ec;
    acceptor->open(endpoint.protocol(), ec);
    acceptor->set_option(tcp::acceptor::reuse_address(true), ec);
    acceptor->set_option(ReusePort(true), ec);
    if (HasMessageMemoryBound()) {
      // Accepted connections have the buffers of the listening socket. Those
      // that the system sizes by itself may take 10 MB each.
      acceptor->set_option(
          asio::socket_base::receive_buffer_size(kSocketBufferBytes), ec);
      acceptor->set_option(
          asio::socket_base::send_buffer_size(kSocketBufferBytes), ec);
    }
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
    asio::post(this->workers.IoContext(i),
               [acceptor = this->shared->acceptors[i]] {
                 beast::error_code ignored;
                 acceptor->cancel(ignored);
               });
  }
  this->shared->EndIdleConnections();
}

int Server::ActiveAcceptLoops() const {
  return this->shared->accepting;
}

int Server::InFlight() const {
  return this->shared->in_flight;
}

}  // namespace kingcupstair::http
