#include "components/http/client.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

#include "components/base/error.h"
#include "components/fibers/await.h"
#include "components/fibers/worker_pool.h"
#include "components/http/beast_convert.h"

namespace kingcupstair::http {
namespace {

namespace beast = boost::beast;
using tcp = boost::asio::ip::tcp;

constexpr size_t kMaxIdlePerServer = 64;
constexpr std::chrono::seconds kMaxIdleTime{10};
constexpr uint64_t kMaxBodyBytes = 16 * 1024 * 1024;

struct Connection {
  explicit Connection(boost::asio::io_context& io) : stream(io) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  Instant idle_since;
};

using IdleConnections =
    std::map<Endpoint, std::vector<std::unique_ptr<Connection>>>;

IdleConnections& Idle() {
  thread_local IdleConnections idle;
  return idle;
}

// A server that closed an idle connection has made it readable.
bool LooksOpen(Connection& connection) {
  beast::error_code ec;
  auto& socket = connection.stream.socket();
  if (MonotonicNow() - connection.idle_since > kMaxIdleTime) {
    return false;
  }
  char byte = 0;
  socket.non_blocking(true, ec);
  const auto peeked = socket.receive(boost::asio::buffer(&byte, 1),
                                     tcp::socket::message_peek, ec);
  return peeked == 0 && ec == boost::asio::error::would_block;
}

std::unique_ptr<Connection> TakeIdle(const Endpoint& server) {
  auto& kept = Idle()[server];
  while (!kept.empty()) {
    auto connection = std::move(kept.back());
    kept.pop_back();
    if (LooksOpen(*connection)) {
      return connection;
    }
  }
  return nullptr;
}

void Keep(const Endpoint& server, std::unique_ptr<Connection> connection) {
  auto& kept = Idle()[server];
  if (kept.size() >= kMaxIdlePerServer) {
    return;
  }
  connection->idle_since = MonotonicNow();
  kept.push_back(std::move(connection));
}

Result Fail(const Call& call, Stage stage, const beast::error_code& ec) {
  constexpr const char* kSteps[] = {"connect", "send", "receive"};
  const bool timed_out = ec == beast::error::timeout;
  return {.failure = {
              .stage = stage,
              .timed_out = timed_out,
              .status = ErrorAt(timed_out ? absl::StatusCode::kDeadlineExceeded
                                          : absl::StatusCode::kUnavailable,
                                {.step = kSteps[static_cast<int>(stage)],
                                 .peer = ToText(call.server)},
                                ec.message())}};
}

beast::error_code Connect(const Call& call, Connection& connection) {
  connection.stream.expires_after(std::min(call.connect_timeout, call.timeout));
  const auto result = fibers::Await([&](auto handler) {
    connection.stream.async_connect(
        ToAsio(call.server),
        [handler](beast::error_code ec) mutable { handler(ec); });
  });
  beast::error_code ignored;
  connection.stream.socket().set_option(tcp::no_delay(true), ignored);
  return result.error;
}

beast::error_code Send(const Call& call, Connection& connection) {
  beast::http::request<beast::http::string_body> message;
  message.version(11);
  message.method_string(call.request.method);
  message.target(call.request.target);
  CopyInto(call.request.headers, message);
  if (message.find(beast::http::field::host) == message.end()) {
    message.set(beast::http::field::host, ToText(call.server));
  }
  message.body() = call.request.body;
  message.prepare_payload();
  return fibers::Await([&](auto handler) {
           beast::http::async_write(connection.stream, message, handler);
         })
      .error;
}

}  // namespace

// An answer whose end is marked only by the end of the connection can't be
// told from one cut short, so it counts as cut.
Result Exchange(const Call& call) {
  const Instant deadline = MonotonicNow() + call.timeout;
  std::unique_ptr<Connection> connection =
      call.reuse_connection ? TakeIdle(call.server) : nullptr;
  if (connection == nullptr) {
    connection = std::make_unique<Connection>(*fibers::CurrentIo());
    if (const auto ec = Connect(call, *connection)) {
      return Fail(call, Stage::kConnect, ec);
    }
  }
  connection->stream.expires_at(deadline);
  if (const auto ec = Send(call, *connection)) {
    return Fail(call, Stage::kSend, ec);
  }
  beast::http::response_parser<beast::http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  parser.skip(call.request.method == "HEAD");
  const auto read = fibers::Await([&](auto handler) {
    beast::http::async_read(connection->stream, connection->buffer, parser,
                            handler);
  });
  if (read.error) {
    return Fail(call, Stage::kReceive, read.error);
  }
  if (parser.need_eof()) {
    return Fail(call, Stage::kReceive, beast::http::error::partial_message);
  }
  auto message = parser.release();
  Result result{.response = {.status = static_cast<int>(message.result_int()),
                             .headers = FromBeast(message),
                             .body = std::move(message.body())}};
  if (message.keep_alive() && connection->buffer.size() == 0) {
    connection->stream.expires_never();
    Keep(call.server, std::move(connection));
  }
  return result;
}

}  // namespace kingcupstair::http
