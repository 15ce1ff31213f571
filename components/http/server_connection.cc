#include "components/http/server_connection.h"

#include <poll.h>

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>

#include "components/fibers/await.h"
#include "components/fibers/worker_pool.h"
#include "components/http/beast_convert.h"
#include "components/http/last_request_time.h"
#include "components/http/request_check.h"

namespace kingcupstair::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

/// Timeout of writing one response; the connection is closed when it expires.
constexpr std::chrono::seconds kWriteTimeout{30};
/// How long input is still read and discarded after the last response. Closing
/// a connection with unread input would reset it and could destroy that
/// response.
constexpr std::chrono::milliseconds kLingerTime{1000};
/// Requests of one connection that are handled concurrently.
constexpr size_t kMaxPipelined = 8;
/// Bytes beyond a head that are buffered before they are parsed. The rest of a
/// chunk's framing or a trailer can't be longer.
constexpr size_t kMaxReadAhead = size_t{64} * 1024;
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

/// Returns whether the client has disconnected, also if input that it sent
/// before has not been read.
bool HasDisconnected(tcp::socket& socket) {
  pollfd watched{.fd = socket.native_handle(), .events = POLLRDHUP};
  return poll(&watched, 1, 0) > 0;
}

constexpr std::chrono::milliseconds kPipelinePollInterval{2};
constexpr size_t kDiscardChunkBytes = 4096;

}  // namespace

ServerConnection::ServerConnection(std::shared_ptr<ServerState> server,
                                   tcp::socket socket)
    : server(std::move(server)),
      stream(std::move(socket)),
      idle_timer(this->stream.get_executor()),
      write_timer(this->stream.get_executor()) {}

void ServerConnection::EndIfIdle() {
  asio::post(this->stream.get_executor(), [self = this->shared_from_this()] {
    beast::error_code error;
    const bool is_receiving =
        self->buffer.size() > 0 ||
        (self->parser.has_value() && self->parser->got_some()) ||
        self->stream.socket().available(error) > 0;
    if (self->queue.empty() && !is_receiving && !self->sending_finished) {
      self->FinishSending();
    }
  });
}

void ServerConnection::ReadRequests() {
  ReaderStep next_step = ReaderStep::kReadNext;
  while (next_step == ReaderStep::kReadNext) {
    next_step = this->ReadRequest();
  }
  if (next_step == ReaderStep::kDiscardInput) {
    this->DiscardInput();
  }
  for (const auto& pending : this->queue) {
    pending->cancellation->Cancel();
  }
}

ServerConnection::ReaderStep ServerConnection::ReadRequest() {
  if (this->sending_finished) {
    return ReaderStep::kDiscardInput;
  }
  const ServerLimits limits = this->server->Limits();
  Parser& parser = this->parser.emplace();
  this->buffer.max_size(static_cast<size_t>(limits.header_bytes) +
                        kMaxReadAhead);
  parser.header_limit(static_cast<uint32_t>(limits.header_bytes));
  parser.body_limit(static_cast<uint64_t>(limits.body_bytes));
  this->StartIdleTimer(limits.idle_timeout);
  const auto read = fibers::Await([&](auto handler) {
    beast::http::async_read(this->stream, this->buffer, parser, handler);
  });
  if (read.error) {
    return this->HandleReadError(parser, read.error);
  }
  if (this->sending_finished || this->last_response_reached) {
    return ReaderStep::kDiscardInput;
  }
  if (!IsUnambiguous(parser.get(), parser.get().version())) {
    this->Reject(kBadRequest);
    return ReaderStep::kDiscardInput;
  }
  if (!this->WaitForPipelineSlot(parser.get().method())) {
    return ReaderStep::kStop;
  }
  if (this->sending_finished || this->last_response_reached) {
    return ReaderStep::kDiscardInput;
  }
  return this->StartRequest(parser) ? ReaderStep::kReadNext
                                    : ReaderStep::kDiscardInput;
}

ServerConnection::ReaderStep ServerConnection::HandleReadError(
    const Parser& parser,
    const beast::error_code& error) {
  const bool disconnected =
      error == beast::http::error::end_of_stream ||
      error == asio::error::operation_aborted ||
      error.category() == asio::error::get_system_category() ||
      error == asio::error::eof || error == beast::http::error::partial_message;
  if (disconnected || !parser.got_some()) {
    return ReaderStep::kStop;
  }
  this->Reject(StatusFor(error));
  return ReaderStep::kDiscardInput;
}

// Only safe requests (GET, HEAD) run concurrently on a connection: if a
// response closes the connection, the client repeats the requests that it
// sent after the one answered. A server that stops closes the connection with
// the next response, so it takes none behind a request in progress.
bool ServerConnection::WaitForPipelineSlot(beast::http::verb method) {
  while (!this->sending_finished &&
         this->queue.size() >= this->MaxConcurrent(method)) {
    if (HasDisconnected(this->stream.socket())) {
      return false;
    }
    fibers::SleepFor(kPipelinePollInterval);
  }
  return true;
}

size_t ServerConnection::MaxConcurrent(beast::http::verb method) const {
  return IsSafe(method) && !this->server->stopping ? kMaxPipelined : 1;
}

bool ServerConnection::StartRequest(Parser& parser) {
  auto pending = std::make_shared<PendingResponse>();
  auto message = parser.release();
  pending->version = message.version();
  pending->keep_alive = message.keep_alive();
  pending->head = message.method() == beast::http::verb::head;
  this->queue.push_back(pending);
  ++this->server->in_flight;
  Request request{.method = std::string(message.method_string()),
                  .target = std::string(message.target()),
                  .headers = FromBeast(message),
                  .body = std::move(message.body()),
                  .requests_ahead = this->queue.size() - 1};
  boost::fibers::fiber([self = this->shared_from_this(), pending,
                        request = std::move(request)] {
    pending->response = self->server->handler(request, pending->cancellation);
    pending->ready = true;
    self->WriteReadyResponses();
  }).detach();
  return pending->keep_alive;
}

void ServerConnection::Reject(int status) {
  auto pending = std::make_shared<PendingResponse>();
  pending->response = JsonResponse(status, "{}");
  pending->keep_alive = false;
  pending->ready = true;
  this->queue.push_back(pending);
  ++this->server->in_flight;
  this->WriteReadyResponses();
}

void ServerConnection::WriteReadyResponses() {
  if (this->writing) {
    return;
  }
  this->writing = true;
  while (!this->queue.empty() && this->queue.front()->ready) {
    const auto next = this->queue.front();
    const bool last = !next->keep_alive ||
                      (this->server->stopping && this->queue.size() == 1);
    // No request is accepted after the last response: its response could not
    // be sent.
    this->last_response_reached = this->last_response_reached || last;
    const bool written = next->response.status != kCloseWithoutResponse &&
                         !this->aborted && this->Write(*next, !last);
    this->queue.pop_front();
    --this->server->in_flight;
    if (!written) {
      this->Abort();
    } else if (last) {
      this->FinishSending();
    }
  }
  this->writing = false;
  if (this->queue.empty() && !this->sending_finished) {
    this->StartIdleTimer(this->server->Limits().idle_timeout);
  }
}

bool ServerConnection::Write(const PendingResponse& pending, bool keep_alive) {
  beast::http::response<beast::http::span_body<const char>> message;
  message.version(pending.version);
  message.result(static_cast<unsigned>(pending.response.status));
  CopyInto(pending.response.headers, message);
  const std::string& body = pending.response.body;
  message.body() = {body.data(), body.size()};
  message.keep_alive(keep_alive);
  message.prepare_payload();
  if (pending.head) {
    message.body() = {};
  }
  this->StartWriteTimer();
  const auto result = fibers::Await([&](auto handler) {
    beast::http::async_write(this->stream, message, handler);
  });
  this->write_timer.cancel();
  return !result.error;
}

// The stream's own expiry would also apply to the pending read and so close a
// connection with requests in progress. Hence a timer of its own.
void ServerConnection::StartWriteTimer() {
  this->write_timer.expires_after(kWriteTimeout);
  this->write_timer.async_wait(
      [weak = this->weak_from_this()](beast::error_code ec) {
        const auto self = weak.lock();
        if (!ec && self != nullptr) {
          self->stream.close();
        }
      });
}

// Closes the sending direction. The client takes requests that it sent later
// as not read.
void ServerConnection::FinishSending() {
  this->sending_finished = true;
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

void ServerConnection::Abort() {
  this->aborted = true;
  this->sending_finished = true;
  this->stream.close();
  for (const auto& pending : this->queue) {
    pending->cancellation->Cancel();
  }
}

// Reads and discards input that follows the last request, until the client
// disconnects or the connection is closed.
void ServerConnection::DiscardInput() {
  while (!this->aborted) {
    this->buffer.consume(this->buffer.size());
    const auto read = fibers::Await([&](auto handler) {
      this->stream.async_read_some(this->buffer.prepare(kDiscardChunkBytes),
                                   handler);
    });
    if (read.error) {
      return;
    }
  }
}

// The idle timeout runs only while no request is in progress. The expiry of
// the stream can't serve for this, since a read is always pending.
void ServerConnection::StartIdleTimer(Duration idle_time) {
  if (!this->queue.empty()) {
    return;
  }
  this->idle_timer.expires_after(this->server->accept_stopped
                                     ? std::min(idle_time, kLastRequestTime)
                                     : idle_time);
  this->idle_timer.async_wait(
      [weak = this->weak_from_this()](beast::error_code ec) {
        const auto self = weak.lock();
        if (!ec && self != nullptr && self->queue.empty() &&
            !self->sending_finished) {
          self->stream.cancel();
        }
      });
}

}  // namespace kingcupstair::http
