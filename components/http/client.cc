#include "components/http/client.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

#include "absl/strings/numbers.h"
#include "components/base/error.h"
#include "components/fibers/await.h"
#include "components/fibers/worker_pool.h"
#include "components/http/beast_convert.h"
#include "components/http/response_reader.h"

namespace kingcupstair::http {
namespace {

namespace beast = boost::beast;
using tcp = boost::asio::ip::tcp;

constexpr size_t kMaxIdlePerServer = 64;
/// Upper bound of the idle time, and the default for servers that send no
/// Keep-Alive timeout. Shorter than the usual idle timeouts of servers.
constexpr Duration kMaxIdleTime{std::chrono::seconds(4)};
/// Time before the server's idle timeout at which a connection is no longer
/// reused.
constexpr Duration kIdleMargin{std::chrono::seconds(1)};
/// Responses to earlier requests that one exchange discards at most.
constexpr int kMaxDiscardedResponses = 3;

/// Keep-alive probes of a connection on which silence is to be detected: time
/// without traffic before the first, time between two, and unanswered probes
/// after which the connection has failed.
constexpr int kProbeAfterSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kMaxUnansweredProbes = 2;

struct Connection {
  explicit Connection(boost::asio::io_context& io) : stream(io) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  Instant idle_since;
  Instant usable_until;
  /// Set once a response has echoed the field of its request.
  bool echoes = false;
};

using IdleConnections =
    std::map<Endpoint, std::vector<std::shared_ptr<Connection>>>;

IdleConnections& ThreadIdleConnections() {
  thread_local IdleConnections idle;
  return idle;
}

// If the server has closed an idle connection, its socket is readable.
bool IsReusable(Connection& connection, Duration max_idle_time) {
  beast::error_code ec;
  auto& socket = connection.stream.socket();
  const Instant now = MonotonicNow();
  if (now > connection.usable_until ||
      now - connection.idle_since > max_idle_time) {
    return false;
  }
  char byte = 0;
  socket.non_blocking(true, ec);
  const auto peeked = socket.receive(boost::asio::buffer(&byte, 1),
                                     tcp::socket::message_peek, ec);
  return peeked == 0 && ec == boost::asio::error::would_block;
}

std::shared_ptr<Connection> TakeIdle(const Endpoint& server,
                                     Duration max_idle_time) {
  auto& kept = ThreadIdleConnections()[server];
  while (!kept.empty()) {
    auto connection = std::move(kept.back());
    kept.pop_back();
    if (IsReusable(*connection, max_idle_time)) {
      return connection;
    }
  }
  return nullptr;
}

/// Returns how long a connection may stay idle. This is the timeout from the
/// server's Keep-Alive header less kIdleMargin, from 0 to kMaxIdleTime, or
/// kMaxIdleTime if the header has no timeout.
Duration AllowedIdleTime(const beast::http::fields& fields) {
  constexpr absl::string_view kTimeout = "timeout=";
  const std::string header_value(fields[beast::http::field::keep_alive]);
  const size_t start = header_value.find(kTimeout.data());
  int64_t seconds = 0;
  if (start == std::string::npos) {
    return kMaxIdleTime;
  }
  const std::string number = header_value.substr(start + kTimeout.size());
  if (!absl::SimpleAtoi(
          number.substr(0, number.find_first_not_of("0123456789")), &seconds)) {
    return kMaxIdleTime;
  }
  return std::clamp<Duration>(std::chrono::seconds(seconds) - kIdleMargin,
                              Duration{}, kMaxIdleTime);
}

void StoreIdle(const Endpoint& server,
               std::shared_ptr<Connection> connection,
               Duration idle_time) {
  auto& kept = ThreadIdleConnections()[server];
  if (kept.size() >= kMaxIdlePerServer) {
    return;
  }
  connection->idle_since = MonotonicNow();
  connection->usable_until = connection->idle_since + idle_time;
  kept.push_back(std::move(connection));
}

bool IsCancelled(const CancellationPtr& cancellation) {
  return cancellation != nullptr && cancellation->IsCancelled();
}

// A cancellation does not abort a connection attempt, so that an attempt that
// fails shows that the server is unreachable.
Result MakeFailure(const Call& call, Stage stage, const beast::error_code& ec) {
  constexpr const char* kSteps[] = {"connect", "send", "receive"};
  const bool timed_out = ec == beast::error::timeout;
  return {.failure = {
              .stage = stage,
              .timed_out = timed_out,
              .cancelled =
                  stage != Stage::kConnect && IsCancelled(call.cancellation),
              .status = ErrorAt(timed_out ? absl::StatusCode::kDeadlineExceeded
                                          : absl::StatusCode::kUnavailable,
                                {.step = kSteps[static_cast<int>(stage)],
                                 .peer = ToText(call.server)},
                                ec.message())}};
}

/// Result of a call that was cancelled before a byte of its request was sent.
Result MakeCancelledUnsent(const Call& call) {
  return {.failure = {.stage = Stage::kConnect,
                      .cancelled = true,
                      .status = ErrorAt(
                          absl::StatusCode::kCancelled,
                          {.step = "connect", .peer = ToText(call.server)},
                          "cancelled before it was sent")}};
}

/// Result of a call whose request can't be written as an HTTP message. Nothing
/// of it was sent.
Result MakeUnsendable(const Call& call, const std::exception& error) {
  return {.failure = {
              .stage = Stage::kSend,
              .status = ErrorAt(absl::StatusCode::kInvalidArgument,
                                {.step = "send", .peer = ToText(call.server)},
                                error.what())}};
}

void SendKeepAliveProbes(tcp::socket& socket) {
  const auto set = [&socket](int level, int option, int value) {
    setsockopt(socket.native_handle(), level, option, &value, sizeof(value));
  };
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kProbeAfterSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, kMaxUnansweredProbes);
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
  if (call.detect_silence) {
    SendKeepAliveProbes(connection.stream.socket());
  }
  return result.error;
}

using RequestMessage = beast::http::request<beast::http::span_body<const char>>;

/// Returns the message to send. Throws if the library can't represent the
/// request: a field that is too long, or a body where none is allowed.
RequestMessage MakeMessage(const Call& call) {
  RequestMessage message;
  message.version(11);
  message.method_string(call.request.method);
  message.target(call.request.target);
  CopyInto(call.request.headers, message);
  if (message.find(beast::http::field::host) == message.end()) {
    message.set(beast::http::field::host, ToText(call.server));
  }
  const std::string& body = call.request.body.text();
  message.body() = {body.data(), body.size()};
  message.prepare_payload();
  return message;
}

beast::error_code Send(RequestMessage& message, Connection& connection) {
  return fibers::Await([&](auto handler) {
           beast::http::async_write(connection.stream, message, handler);
         })
      .error;
}

// Where the server echoes the field, a response without it is no response to
// this request: it may be an earlier one, sent once more without the field.
bool IsResponseTo(const Call& call,
                  const ReadResult& response,
                  Connection& connection) {
  if (!call.expected_echo.has_value()) {
    return true;
  }
  const auto found = response.fields.find(call.expected_echo->name);
  if (found == response.fields.end()) {
    return !connection.echoes;
  }
  connection.echoes = true;
  return found->value() == call.expected_echo->value;
}

/// Reads responses until one to this request is complete.
ReadResult Receive(const Call& call, Connection& connection, Instant deadline) {
  const auto on_begin = [&call] {
    if (call.finish_begun_response && call.cancellation != nullptr) {
      call.cancellation->OnCancel(nullptr);
    }
  };
  ResponseReader reader({.server = call.server,
                         .without_body = call.request.method == "HEAD",
                         .deadline = deadline,
                         .transfer_timeout = call.transfer_timeout,
                         .counts_as_message = call.counts_as_message,
                         .on_begin = on_begin},
                        connection.stream, connection.buffer);
  for (int discarded = 0; discarded <= kMaxDiscardedResponses; ++discarded) {
    ReadResult response = reader.ReadNext();
    if (response.error || IsResponseTo(call, response, connection)) {
      return response;
    }
  }
  return {.error = beast::http::error::bad_value};
}

/// Closes the connection when the call is cancelled. Cancellation may come from
/// any thread; the close is posted to the thread of the connection.
void CloseOnCancel(const Call& call,
                   const std::shared_ptr<Connection>& connection) {
  if (call.cancellation == nullptr) {
    return;
  }
  call.cancellation->OnCancel(
      [io = fibers::CurrentIoContext(), weak = std::weak_ptr(connection)] {
        boost::asio::post(*io, [weak] {
          if (const auto open = weak.lock()) {
            open->stream.close();
          }
        });
      });
}

std::shared_ptr<Connection> OpenConnection(const Call& call,
                                           beast::error_code& ec) {
  auto connection = call.reuse_connection
                        ? TakeIdle(call.server, call.max_idle_time)
                        : nullptr;
  if (connection == nullptr) {
    connection = std::make_shared<Connection>(*fibers::CurrentIoContext());
    ec = Connect(call, *connection);
  }
  return connection;
}

}  // namespace

Result Exchange(const Call& call) {
  const Instant deadline = MonotonicNow() + call.timeout;
  RequestMessage message;
  try {
    message = MakeMessage(call);
  } catch (const std::exception& error) {
    return MakeUnsendable(call, error);
  }
  beast::error_code ec;
  const auto connection = OpenConnection(call, ec);
  if (ec) {
    return MakeFailure(call, Stage::kConnect, ec);
  }
  if (IsCancelled(call.cancellation) ||
      IsCancelled(call.cancellation_before_sending)) {
    return MakeCancelledUnsent(call);
  }
  connection->stream.expires_after(
      std::max(deadline - MonotonicNow(), Duration(1)));
  CloseOnCancel(call, connection);
  if ((ec = Send(message, *connection))) {
    return MakeFailure(call, Stage::kSend, ec);
  }
  ReadResult read = Receive(call, *connection, deadline);
  if (read.error) {
    return MakeFailure(call, Stage::kReceive, read.error);
  }
  if (call.cancellation != nullptr) {
    call.cancellation->OnCancel(nullptr);
  }
  const bool reusable =
      call.keep_connection && read.keep_alive && connection->buffer.size() == 0;
  Result result{.response = {.status = read.status,
                             .headers = FromBeast(read.fields),
                             .body = std::move(read.body)}};
  if (reusable) {
    connection->stream.expires_never();
    StoreIdle(call.server, connection, AllowedIdleTime(read.fields));
  }
  return result;
}

}  // namespace kingcupstair::http
