#include "apps/relay_standin/relay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/fiber.hpp>

#include <array>
#include <nlohmann/json.hpp>

#include "components/fibers/await.h"
#include "components/fibers/worker_pool.h"
#include "components/http/beast_convert.h"

namespace kingcupstair {
namespace {

using tcp = boost::asio::ip::tcp;

constexpr size_t kBufferBytes = 16 * 1024;

}  // namespace

struct Relay::Connection {
  explicit Connection(boost::asio::io_context& io) : client(io), server(io) {}

  tcp::socket client;
  tcp::socket server;
  bool silent = false;
};

Relay::Relay(Options options) : options(std::move(options)) {}

void Relay::Run() {
  auto& io = *fibers::CurrentIoContext();
  tcp::acceptor acceptor(io, http::ToAsio(this->options.listen));
  while (true) {
    auto connection = std::make_shared<Connection>(io);
    const auto accepted = fibers::Await([&](auto handler) {
      acceptor.async_accept(
          connection->client,
          [handler](boost::system::error_code ec) mutable { handler(ec); });
    });
    if (accepted.error || this->faults.refuse) {
      continue;
    }
    this->connections.push_back(connection);
    boost::fibers::fiber([this, connection] {
      this->Serve(connection);
    }).detach();
  }
}

void Relay::Serve(std::shared_ptr<Connection> connection) {
  const auto connected = fibers::Await([&](auto handler) {
    connection->server.async_connect(
        http::ToAsio(this->options.server),
        [handler](boost::system::error_code ec) mutable { handler(ec); });
  });
  if (connected.error) {
    return;
  }
  boost::fibers::fiber([this, connection] {
    this->Forward(connection, false);
  }).detach();
  this->Forward(connection, true);
}

// Dropped bytes are read as well, so that the sender cannot detect the fault.
void Relay::Forward(std::shared_ptr<Connection> connection, bool to_server) {
  tcp::socket& from = to_server ? connection->client : connection->server;
  tcp::socket& to = to_server ? connection->server : connection->client;
  std::array<char, kBufferBytes> buffer{};
  while (true) {
    const auto read = fibers::Await([&](auto handler) {
      from.async_read_some(boost::asio::buffer(buffer), handler);
    });
    if (read.error) {
      break;
    }
    const bool dropped =
        to_server ? this->faults.drop_to_server : this->faults.drop_to_client;
    connection->silent = connection->silent || dropped;
    if (connection->silent) {
      continue;
    }
    if (this->faults.delay > Duration{}) {
      fibers::SleepFor(this->faults.delay);
    }
    const auto written = fibers::Await([&](auto handler) {
      boost::asio::async_write(
          to, boost::asio::buffer(buffer.data(), read.bytes), handler);
    });
    if (written.error) {
      break;
    }
  }
  boost::system::error_code ignored;
  if (!connection->silent) {
    to.shutdown(tcp::socket::shutdown_send, ignored);
  }
}

http::Response Relay::HandleControl(const http::Request& request) {
  const auto json = nlohmann::json::parse(request.body.text(), nullptr, false);
  if (request.target != "/faults" || !json.is_object()) {
    return {.status = 400, .body = "POST a JSON object to /faults\n"};
  }
  this->faults = {
      .drop_to_server = json.value("drop_to_server", false),
      .drop_to_client = json.value("drop_to_client", false),
      .refuse = json.value("refuse", false),
      .delay = std::chrono::milliseconds(json.value("delay_ms", 0))};
  if (json.value("silence_open", false)) {
    this->SilenceOpen();
  }
  if (json.value("reset_open", false)) {
    this->ResetOpen();
  }
  return {};
}

void Relay::SilenceOpen() {
  for (const auto& weak_connection : this->connections) {
    if (const auto connection = weak_connection.lock()) {
      connection->silent = true;
    }
  }
}

// Closing with a linger time of zero sends a reset.
void Relay::ResetOpen() {
  for (const auto& weak_connection : this->connections) {
    const auto connection = weak_connection.lock();
    if (connection == nullptr) {
      continue;
    }
    for (tcp::socket* each : {&connection->client, &connection->server}) {
      boost::system::error_code ignored;
      each->set_option(boost::asio::socket_base::linger(true, 0), ignored);
      each->close(ignored);
    }
  }
}

}  // namespace kingcupstair
