#include "components/http/response_reader.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>

#include <boost/beast/http.hpp>

#include "components/fibers/await.h"
#include "components/fibers/worker_pool.h"
#include "components/http/byte_lease.h"
#include "components/http/message.h"
#include "components/http/response_memory.h"

namespace kingcupstair::http {
namespace {

namespace beast = boost::beast;
using Parser = beast::http::response_parser<beast::http::string_body>;

constexpr size_t kReceiveBytes = size_t{16} * 1024;
/// Longest head of a response, and longest part of a chunk's or trailer's
/// framing that is buffered.
constexpr uint32_t kMaxHeadBytes = 32 * 1024;
/// Bytes outside of bodies that one read accepts: some heads, and for each byte
/// of a body what the smallest chunks need.
constexpr size_t kMaxFramingBytes = size_t{4} * kMaxHeadBytes;
constexpr size_t kMaxFramingPerBodyByte = 8;
/// Longest pause between two parts of a response whose transfer has a timeout
/// of its own.
constexpr Duration kMaxTransferPause{std::chrono::seconds(1)};
constexpr Duration kMemoryPollInterval{std::chrono::milliseconds(5)};
constexpr int kFirstInterimStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kLastInterimStatus = 199;

/// The part of one response in the memory for responses of its server. Several
/// threads read from one server.
class MemoryShare {
 public:
  explicit MemoryShare(const Endpoint& server) : server(server) {
    const std::lock_guard lock(Mutex());
    Entry& entry = Entries()[server];
    ++entry.responses;
    this->id = ++entry.last_id;
  }

  MemoryShare(const MemoryShare&) = delete;
  MemoryShare& operator=(const MemoryShare&) = delete;

  ~MemoryShare() {
    const std::lock_guard lock(Mutex());
    Entry& entry = Entries().at(this->server);
    entry.memory.Release(this->id, this->held);
    if (--entry.responses == 0) {
      Entries().erase(this->server);
    }
  }

  bool TryGrowTo(size_t bytes) {
    const std::lock_guard lock(Mutex());
    const bool grown =
        bytes <= this->held ||
        Entries().at(this->server).memory.TryGrow(this->id, this->held, bytes);
    if (grown) {
      this->held = std::max(this->held, bytes);
    }
    return grown;
  }

 private:
  struct Entry {
    ResponseMemory memory{{}};
    int responses = 0;
    ResponseMemory::ResponseId last_id = 0;
  };

  static std::mutex& Mutex() {
    static std::mutex mutex;
    return mutex;
  }

  static std::map<Endpoint, Entry>& Entries() {
    static std::map<Endpoint, Entry> entries;
    return entries;
  }

  Endpoint server;
  ResponseMemory::ResponseId id = 0;
  size_t held = 0;
};

bool IsInterimStatus(int status) {
  return status >= kFirstInterimStatus && status <= kLastInterimStatus &&
         status != kSwitchingProtocols;
}

beast::error_code WaitForMemory(MemoryShare& share,
                                const ByteLeasePtr& lease,
                                size_t bytes,
                                const beast::tcp_stream& stream,
                                Instant deadline) {
  while (!share.TryGrowTo(bytes) ||
         (lease != nullptr &&
          lease->TryGrow(bytes) != ByteBudget::Grant::kGranted)) {
    if (!stream.socket().is_open()) {
      return boost::asio::error::operation_aborted;
    }
    if (MonotonicNow() >= deadline) {
      return beast::error::timeout;
    }
    fibers::SleepFor(kMemoryPollInterval);
  }
  return {};
}

}  // namespace

ResponseReader::ResponseReader(Options options,
                               beast::tcp_stream& stream,
                               beast::flat_buffer& buffer)
    : options(std::move(options)), stream(stream), buffer(buffer) {}

// A server may send interim responses that the request did not ask for (RFC
// 9110 section 15.2). A change of protocol is not one of them: what follows it
// is no HTTP response. A response with an invalid status is not skipped either,
// since it may be the one to this request.
ReadResult ResponseReader::ReadNext() {
  while (true) {
    ReadResult result = this->ReadOne();
    if (result.error || IsFinalStatus(result.status)) {
      return result;
    }
    if (!IsInterimStatus(result.status)) {
      return {.error = beast::http::error::bad_status};
    }
  }
}

ReadResult ResponseReader::ReadOne() {
  Parser parser;
  parser.header_limit(kMaxHeadBytes);
  parser.body_limit(kMaxResponseBodyBytes);
  parser.skip(this->options.without_body);
  MemoryShare share(this->options.server);
  const ByteLeasePtr lease = this->options.counts_as_message
                                 ? ByteLease::Take(ByteBudget::Kind::kResponse)
                                 : nullptr;
  bool needs_more = false;
  while (!parser.is_done()) {
    beast::error_code error;
    if (needs_more || this->buffer.size() == 0) {
      error = this->Receive();
    }
    if (error == boost::asio::error::eof && parser.got_some()) {
      error = {};
      parser.put_eof(error);
      if (!error) {
        continue;
      }
    }
    const size_t body_before = parser.get().body().size();
    if (!error) {
      error = WaitForMemory(share, lease, body_before + this->buffer.size(),
                            this->stream, this->options.deadline);
    }
    if (error) {
      return {.error = error};
    }
    // An eager parser passes over the limit on Content-Length if the body
    // begins in the same buffer (Boost 1.74).
    parser.eager(parser.is_header_done());
    const size_t parsed = parser.put(this->buffer.data(), error);
    this->buffer.consume(parsed);
    const size_t body_after = parser.get().body().size();
    needs_more = error == beast::http::error::need_more;
    if (needs_more) {
      error = {};
    }
    if (!error) {
      error =
          this->CountFraming(parsed - (body_after - body_before), body_after);
    }
    if (error) {
      return {.error = error};
    }
  }
  const bool keep_alive = !parser.need_eof() && parser.keep_alive();
  auto message = parser.release();
  const int status = static_cast<int>(message.result_int());
  return {.status = status,
          .fields = std::move(message.base()),
          .body = Body(std::move(message.body()), lease),
          .keep_alive = keep_alive};
}

// What is left in the buffer is the beginning of a head, a chunk's framing or a
// trailer, which the parser takes as a whole.
beast::error_code ResponseReader::Receive() {
  if (this->buffer.size() > kMaxHeadBytes) {
    return beast::http::error::header_limit;
  }
  if (MonotonicNow() >= this->options.deadline) {
    return beast::error::timeout;
  }
  if (this->begun && this->options.transfer_timeout > Duration{}) {
    this->stream.expires_after(
        std::min(this->options.deadline - MonotonicNow(), kMaxTransferPause));
  }
  const auto received = fibers::Await([&](auto handler) {
    this->stream.async_read_some(this->buffer.prepare(kReceiveBytes), handler);
  });
  this->buffer.commit(received.bytes);
  if (!received.error && !std::exchange(this->begun, true)) {
    this->OnBegin();
  }
  return received.error;
}

void ResponseReader::OnBegin() {
  if (this->options.transfer_timeout > Duration{}) {
    this->options.deadline =
        std::max(this->options.deadline,
                 MonotonicNow() + this->options.transfer_timeout);
  }
  if (this->options.on_begin) {
    this->options.on_begin();
  }
}

beast::error_code ResponseReader::CountFraming(size_t bytes,
                                               size_t body_bytes) {
  this->framing_bytes += bytes;
  const size_t allowed = kMaxFramingBytes + kMaxFramingPerBodyByte * body_bytes;
  return this->framing_bytes > allowed
             ? beast::error_code(beast::http::error::header_limit)
             : beast::error_code();
}

}  // namespace kingcupstair::http
