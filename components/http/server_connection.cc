#include "components/http/server_connection.h"

#include <poll.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include <boost/asio/post.hpp>

#include "components/fibers/await.h"
#include "components/fibers/boundary.h"
#include "components/fibers/worker_pool.h"
#include "components/http/beast_convert.h"
#include "components/http/last_request_time.h"
#include "components/http/request_check.h"

namespace kingcupstair::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

/// Timeout of a response of which the client takes nothing. The connection is
/// closed when it expires.
constexpr std::chrono::seconds kWriteTimeout{30};
/// Least rate at which a client takes a response, beyond that time.
constexpr size_t kMinWriteBytesPerSecond = size_t{16} * 1024;
/// How long input is still read and discarded after the last response. Closing
/// a connection with unread input would reset it and could destroy that
/// response.
constexpr std::chrono::milliseconds kLingerTime{1000};
/// Requests of one connection that are handled concurrently.
constexpr size_t kMaxPipelined = 8;
/// Bytes beyond a head that are buffered before they are parsed. The rest of a
/// chunk's framing or a trailer can't be longer.
constexpr size_t kMaxReadAhead = size_t{64} * 1024;
/// Bytes that are received at once: few while a request may be a small one, and
/// more for the rest of a long body.
constexpr size_t kSmallStepBytes = size_t{4} * 1024;
constexpr size_t kStepBytes = size_t{64} * 1024;
constexpr size_t kSmallBodyBytes = size_t{24} * 1024;
/// Memory counted for a request beside its message, for the stack of its fiber
/// and what is kept of it until its response is written.
constexpr size_t kRequestBytes = size_t{24} * 1024;
constexpr std::chrono::milliseconds kMemoryPollInterval{5};
constexpr Instant kNotIdle = Instant::max();
constexpr int kInternalServerError = 500;
constexpr int kUnavailable = 503;
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

/// Parses `input` and returns the number of bytes that were parsed. The library
/// throws for a field that is longer than it can hold.
size_t Parse(beast::http::request_parser<beast::http::string_body>& parser,
             beast::flat_buffer::const_buffers_type input,
             beast::error_code& error) {
  try {
    return parser.put(input, error);
  } catch (const std::length_error&) {
    error = beast::http::error::header_limit;
    return 0;
  }
}

/// Response to a request whose handler threw: it may have run or not.
Response InternalError() {
  Response response =
      JsonResponse(kInternalServerError,
                   "{\"outcome\":\"unknown\",\"reason\":\"internal_error\"}\n");
  response.headers.push_back(
      {.name = "Kingcupstair-Outcome", .value = "unknown"});
  return response;
}

/// Response to a request for which there is no memory. Nothing of it has been
/// passed on, so that it has not run.
Response OutOfMemory() {
  Response response =
      JsonResponse(kUnavailable,
                   "{\"outcome\":\"not-run\",\"reason\":\"out_of_memory\","
                   "\"retry_after_ms\":1000}\n");
  response.headers.push_back(
      {.name = "Kingcupstair-Outcome", .value = "not-run"});
  response.headers.push_back({.name = "Retry-After", .value = "1"});
  return response;
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
      write_timer(this->stream.get_executor()),
      idle_since(MonotonicNow()) {
  ++this->server->open_connections;
}

ServerConnection::~ServerConnection() {
  --this->server->open_connections;
}

std::optional<Instant> ServerConnection::IdleSince() const {
  const Instant since = this->idle_since;
  return since == kNotIdle ? std::nullopt : std::optional(since);
}

void ServerConnection::EndUnlessInProgress() {
  this->idle_since = kNotIdle;
  asio::post(this->stream.get_executor(), [self = this->shared_from_this()] {
    if (self->queue.empty()) {
      self->Abort();
    }
  });
}

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
  const bool ended = fibers::RunContained("read requests", [this] {
    ReaderStep next_step = ReaderStep::kReadNext;
    while (next_step == ReaderStep::kReadNext) {
      next_step = this->ReadRequest();
    }
    if (next_step == ReaderStep::kDiscardInput) {
      this->DiscardInput();
    }
  });
  if (!ended) {
    this->Abort();
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
  this->lease = ByteLease::Take(ByteBudget::Kind::kRequest);
  this->lease_ended = false;
  this->receiving = true;
  const beast::error_code error = this->ReceiveRequest(parser);
  this->receiving = false;
  if (this->lease != nullptr) {
    this->lease->OnClose(nullptr);
    this->lease->Pin();
  }
  if (this->lease_ended) {
    this->RejectForMemory();
    return ReaderStep::kDiscardInput;
  }
  if (error) {
    return this->HandleReadError(parser, error);
  }
  if (this->sending_finished || this->last_response_reached) {
    return ReaderStep::kDiscardInput;
  }
  const auto& message = parser.get();
  if (!IsUnambiguous(message, message.version()) ||
      (!message.body().empty() && !MayHaveBody(message.method()))) {
    this->Reject(JsonResponse(kBadRequest, "{}"));
    return ReaderStep::kDiscardInput;
  }
  if (!this->WaitForPipelineSlot(parser.get().method())) {
    return ReaderStep::kStop;
  }
  if (!this->WaitForRequestMemory(parser.get().body().size())) {
    return this->RefuseForMemory(parser);
  }
  if (this->sending_finished || this->last_response_reached) {
    return ReaderStep::kDiscardInput;
  }
  return this->StartRequest(parser) ? ReaderStep::kReadNext
                                    : ReaderStep::kDiscardInput;
}

beast::error_code ServerConnection::ReceiveRequest(Parser& parser) {
  if (this->lease != nullptr) {
    this->lease->OnClose([weak = this->weak_from_this(),
                          executor = this->stream.get_executor(),
                          lease = this->lease.get()] {
      asio::post(executor, [weak, lease] {
        const auto self = weak.lock();
        if (self != nullptr && self->receiving && self->lease.get() == lease) {
          self->lease_ended = true;
          self->stream.cancel();
        }
      });
    });
  }
  bool needs_more = false;
  while (!parser.is_done()) {
    if (needs_more || this->buffer.size() == 0) {
      const size_t body_bytes = parser.get().body().size();
      const size_t step =
          std::min(body_bytes < kSmallBodyBytes ? kSmallStepBytes : kStepBytes,
                   this->buffer.max_size() - this->buffer.size());
      if (step == 0) {
        return beast::http::error::buffer_overflow;
      }
      // An idle connection holds no memory of the budget.
      const bool idle = !needs_more && !parser.got_some();
      if (!idle &&
          !this->WaitForMemory(body_bytes + this->buffer.size() + step)) {
        return asio::error::operation_aborted;
      }
      const auto received = fibers::Await([&](auto handler) {
        this->stream.async_read_some(this->buffer.prepare(step), handler);
      });
      this->buffer.commit(received.bytes);
      if (received.error == asio::error::eof) {
        return parser.got_some() || this->buffer.size() > 0
                   ? beast::http::error::partial_message
                   : beast::http::error::end_of_stream;
      }
      if (received.error) {
        return received.error;
      }
    }
    if (!this->WaitForMemory(parser.get().body().size() +
                             this->buffer.size())) {
      return asio::error::operation_aborted;
    }
    // An eager parser passes over the limit on Content-Length if the body
    // begins in the same buffer (Boost 1.74).
    parser.eager(parser.is_header_done());
    beast::error_code error;
    this->buffer.consume(Parse(parser, this->buffer.data(), error));
    needs_more = error == beast::http::error::need_more;
    if (error && !needs_more) {
      return error;
    }
  }
  if (this->buffer.size() == 0 && this->buffer.capacity() > kSmallStepBytes) {
    this->buffer.shrink_to_fit();
  }
  return {};
}

bool ServerConnection::WaitForMemory(size_t bytes) {
  return this->WaitForGrant([&] { return this->lease->TryGrow(bytes); });
}

bool ServerConnection::WaitForGrant(
    const std::function<ByteBudget::Grant()>& ask) {
  while (this->lease != nullptr) {
    const auto grant = ask();
    this->lease_ended = this->lease_ended || grant == ByteBudget::Grant::kClose;
    if (this->lease_ended) {
      return false;
    }
    if (grant == ByteBudget::Grant::kGranted) {
      break;
    }
    fibers::SleepFor(kMemoryPollInterval);
  }
  return true;
}

// Pipelined requests are short, and each takes a fiber: a crowd of clients that
// read no responses would hold as many stacks as it has requests. One that is
// alone on its connection waits for its memory; others are refused at once, so
// that those that wait soon have less before them.
bool ServerConnection::WaitForRequestMemory(size_t body_bytes) {
  if (this->lease == nullptr || !this->server->options.counts_requests) {
    return true;
  }
  const size_t bytes = body_bytes + this->buffer.size() + kRequestBytes;
  this->lease->Unpin();
  const auto ask = [&] { return this->lease->TryStart(bytes); };
  const bool granted = this->queue.empty()
                           ? this->WaitForGrant(ask)
                           : ask() == ByteBudget::Grant::kGranted;
  this->lease->Pin();
  return granted;
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
  this->Reject(JsonResponse(StatusFor(error), "{}"));
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
  this->idle_since = kNotIdle;
  ++this->server->in_flight;
  Request request{.method = std::string(message.method_string()),
                  .target = std::string(message.target()),
                  .headers = FromBeast(message),
                  .body = Body(std::move(message.body()), this->lease),
                  .requests_ahead = this->queue.size() - 1};
  fibers::Launch("request", [self = this->shared_from_this(), pending,
                             lease = std::exchange(this->lease, nullptr),
                             request = std::move(request)] {
    pending->response = fibers::RunOr(
        "handle a request",
        [&] { return self->server->handler(request, pending->cancellation); },
        InternalError);
    pending->ready = true;
    self->WriteReadyResponses();
  });
  return pending->keep_alive;
}

void ServerConnection::Reject(Response response) {
  this->Respond(std::move(response), /*keep_alive=*/false, /*head=*/false);
}

void ServerConnection::Respond(Response response, bool keep_alive, bool head) {
  auto pending = std::make_shared<PendingResponse>();
  pending->response = std::move(response);
  pending->keep_alive = keep_alive;
  pending->head = head;
  pending->ready = true;
  this->queue.push_back(pending);
  this->idle_since = kNotIdle;
  ++this->server->in_flight;
  this->WriteReadyResponses();
}

ServerConnection::ReaderStep ServerConnection::RefuseForMemory(Parser& parser) {
  if (this->queue.empty()) {
    this->RejectForMemory();
    return ReaderStep::kDiscardInput;
  }
  const bool keep_alive = parser.get().keep_alive();
  this->lease.reset();
  this->Respond(OutOfMemory(), keep_alive,
                parser.get().method() == beast::http::verb::head);
  return keep_alive ? ReaderStep::kReadNext : ReaderStep::kDiscardInput;
}

void ServerConnection::RejectForMemory() {
  this->parser.emplace();
  this->buffer.clear();
  this->buffer.shrink_to_fit();
  this->lease.reset();
  this->Reject(OutOfMemory());
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
    const bool written =
        next->response.status != kCloseWithoutResponse && !this->aborted &&
        fibers::RunOr(
            "write a response", [&] { return this->Write(*next, !last); },
            [] { return false; });
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

bool ServerConnection::Write(PendingResponse& pending, bool keep_alive) {
  beast::http::response<beast::http::span_body<const char>> message;
  message.version(pending.version);
  message.result(static_cast<unsigned>(pending.response.status));
  CopyInto(pending.response.headers, message);
  const std::string& body = pending.response.body.text();
  message.body() = {body.data(), body.size()};
  message.keep_alive(keep_alive);
  message.prepare_payload();
  if (pending.head) {
    message.body() = {};
  }
  const ByteLeasePtr response_lease = this->ExposeResponse(pending);
  const Instant end =
      MonotonicNow() + kWriteTimeout +
      std::chrono::seconds(body.size() / kMinWriteBytesPerSecond);
  beast::http::response_serializer<beast::http::span_body<const char>>
      serializer(message);
  beast::error_code error;
  while (!error && !serializer.is_done()) {
    this->StartWriteTimer(
        std::min<Duration>(kWriteTimeout, end - MonotonicNow()));
    error = fibers::Await([&](auto handler) {
              beast::http::async_write_some(this->stream, serializer, handler);
            }).error;
    if (response_lease != nullptr) {
      response_lease->OnProgress();
    }
  }
  this->write_timer.cancel();
  if (response_lease != nullptr) {
    response_lease->OnClose(nullptr);
  }
  return !error;
}

// A client that reads slowly may be disconnected if the memory is needed for
// others. The response of another host is not yet counted.
ByteLeasePtr ServerConnection::ExposeResponse(PendingResponse& pending) {
  ByteLeasePtr response_lease = pending.response.body.lease();
  if (response_lease == nullptr) {
    response_lease = ByteLease::Take(ByteBudget::Kind::kResponse);
    if (response_lease == nullptr) {
      return nullptr;
    }
    response_lease->Charge(pending.response.body.size());
  }
  response_lease->OnClose(
      [weak = this->weak_from_this(), executor = this->stream.get_executor()] {
        asio::post(executor, [weak] {
          if (const auto self = weak.lock()) {
            self->stream.close();
          }
        });
      });
  response_lease->Unpin();
  return response_lease;
}

// The stream's own expiry would also apply to the pending read and so close a
// connection with requests in progress. Hence a timer of its own.
void ServerConnection::StartWriteTimer(Duration time) {
  this->write_timer.expires_after(time);
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
  this->idle_since = MonotonicNow();
  this->idle_expired = false;
  this->idle_timer.expires_after(this->server->accept_stopped
                                     ? std::min(idle_time, kLastRequestTime)
                                     : idle_time);
  this->idle_timer.async_wait(
      [weak = this->weak_from_this()](beast::error_code ec) {
        const auto self = weak.lock();
        if (!ec && self != nullptr && self->queue.empty() &&
            !self->sending_finished) {
          self->idle_expired = true;
          self->stream.cancel();
        }
      });
}

}  // namespace kingcupstair::http
