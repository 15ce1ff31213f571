#include "components/http/client.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "absl/strings/numbers.h"
#include "components/base/error.h"
#include "components/fibers/await.h"
#include "components/fibers/worker_pool.h"
#include "components/http/beast_convert.h"

namespace kingcupstair::http {
namespace {

namespace beast = boost::beast;
using tcp = boost::asio::ip::tcp;

constexpr size_t kMaxIdlePerServer = 64;
/// Without a time told by the server: shorter than the usual idle timeouts.
constexpr Duration kMaxIdleTime{std::chrono::seconds(4)};
/// Ahead of the idle timeout that a server tells.
constexpr Duration kIdleMargin{std::chrono::seconds(1)};
constexpr uint64_t kMaxBodyBytes = 64 * 1024 * 1024;
/// Answers to earlier requests that are passed over on one connection.
constexpr int kMaxPassedOver = 3;

struct Connection {
  explicit Connection(boost::asio::io_context& io) : stream(io) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  Instant idle_since;
  Instant usable_until;
};

using IdleConnections =
    std::map<Endpoint, std::vector<std::shared_ptr<Connection>>>;

IdleConnections& Idle() {
  thread_local IdleConnections idle;
  return idle;
}

// A server that closed an idle connection has made it readable.
bool LooksOpen(Connection& connection, Duration longest_idle) {
  beast::error_code ec;
  auto& socket = connection.stream.socket();
  const Instant now = MonotonicNow();
  if (now > connection.usable_until ||
      now - connection.idle_since > longest_idle) {
    return false;
  }
  char byte = 0;
  socket.non_blocking(true, ec);
  const auto peeked = socket.receive(boost::asio::buffer(&byte, 1),
                                     tcp::socket::message_peek, ec);
  return peeked == 0 && ec == boost::asio::error::would_block;
}

std::shared_ptr<Connection> TakeIdle(const Endpoint& server,
                                     Duration longest_idle) {
  auto& kept = Idle()[server];
  while (!kept.empty()) {
    auto connection = std::move(kept.back());
    kept.pop_back();
    if (LooksOpen(*connection, longest_idle)) {
      return connection;
    }
  }
  return nullptr;
}

/// How long a kept connection may stay idle, by the server's own word if it
/// gave one.
Duration IdleTime(const beast::http::fields& fields) {
  constexpr absl::string_view kTimeout = "timeout=";
  const std::string told(fields[beast::http::field::keep_alive]);
  const size_t start = told.find(kTimeout.data());
  int64_t seconds = 0;
  if (start == std::string::npos) {
    return kMaxIdleTime;
  }
  const std::string number = told.substr(start + kTimeout.size());
  if (!absl::SimpleAtoi(
          number.substr(0, number.find_first_not_of("0123456789")), &seconds)) {
    return kMaxIdleTime;
  }
  return std::clamp<Duration>(std::chrono::seconds(seconds) - kIdleMargin,
                              Duration{}, kMaxIdleTime);
}

void Keep(const Endpoint& server,
          std::shared_ptr<Connection> connection,
          Duration idle_time) {
  auto& kept = Idle()[server];
  if (kept.size() >= kMaxIdlePerServer) {
    return;
  }
  connection->idle_since = MonotonicNow();
  connection->usable_until = connection->idle_since + idle_time;
  kept.push_back(std::move(connection));
}

Result Fail(const Call& call, Stage stage, const beast::error_code& ec) {
  constexpr const char* kSteps[] = {"connect", "send", "receive"};
  const bool timed_out = ec == beast::error::timeout;
  return {.failure = {
              .stage = stage,
              .timed_out = timed_out,
              .cancelled = call.cancellation != nullptr &&
                           call.cancellation->IsCancelled(),
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

using Parser = beast::http::response_parser<beast::http::string_body>;

bool BelongsHere(const Call& call, const Parser& parser) {
  if (!call.echoed.has_value()) {
    return true;
  }
  const auto found = parser.get().find(call.echoed->name);
  return found == parser.get().end() || found->value() == call.echoed->value;
}

/// Reads until an answer to this request is whole.
beast::error_code Receive(const Call& call,
                          Connection& connection,
                          std::optional<Parser>& parser) {
  for (int passed_over = 0; passed_over <= kMaxPassedOver; ++passed_over) {
    parser.emplace();
    parser->body_limit(kMaxBodyBytes);
    parser->skip(call.request.method == "HEAD");
    const auto read = fibers::Await([&](auto handler) {
      beast::http::async_read(connection.stream, connection.buffer, *parser,
                              handler);
    });
    if (read.error) {
      return read.error;
    }
    if (BelongsHere(call, *parser)) {
      return {};
    }
  }
  return beast::http::error::bad_value;
}

/// Closes the connection when the call is cancelled, from any thread.
void CloseOnCancel(const Call& call,
                   const std::shared_ptr<Connection>& connection) {
  if (call.cancellation == nullptr) {
    return;
  }
  call.cancellation->OnCancel(
      [io = fibers::CurrentIo(), weak = std::weak_ptr(connection)] {
        boost::asio::post(*io, [weak] {
          if (const auto open = weak.lock()) {
            open->stream.close();
          }
        });
      });
}

std::shared_ptr<Connection> Open(const Call& call, beast::error_code& ec) {
  auto connection = call.reuse_connection
                        ? TakeIdle(call.server, call.longest_idle)
                        : nullptr;
  if (connection == nullptr) {
    connection = std::make_shared<Connection>(*fibers::CurrentIo());
    ec = Connect(call, *connection);
  }
  return connection;
}

}  // namespace

Result Exchange(const Call& call) {
  const Instant deadline = MonotonicNow() + call.timeout;
  beast::error_code ec;
  const auto connection = Open(call, ec);
  if (ec) {
    return Fail(call, Stage::kConnect, ec);
  }
  connection->stream.expires_after(
      std::max(deadline - MonotonicNow(), Duration(1)));
  CloseOnCancel(call, connection);
  if ((ec = Send(call, *connection))) {
    return Fail(call, Stage::kSend, ec);
  }
  std::optional<Parser> parser;
  if ((ec = Receive(call, *connection, parser))) {
    return Fail(call, Stage::kReceive, ec);
  }
  if (call.cancellation != nullptr) {
    call.cancellation->OnCancel(nullptr);
  }
  const bool reusable = !parser->need_eof() && parser->keep_alive() &&
                        connection->buffer.size() == 0;
  auto message = parser->release();
  Result result{.response = {.status = static_cast<int>(message.result_int()),
                             .headers = FromBeast(message),
                             .body = std::move(message.body())}};
  if (reusable) {
    connection->stream.expires_never();
    Keep(call.server, connection, IdleTime(message));
  }
  return result;
}

}  // namespace kingcupstair::http
