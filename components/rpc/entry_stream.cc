#include "components/rpc/entry_stream.h"

#include <kj/debug.h>

#include <algorithm>
#include <string>
#include <utility>

#include "components/logging/log.h"

namespace kingcupstair::rpc {
namespace {

/// Bytes that a peer may send before it has proved that it has the fleet key.
constexpr size_t kMaxBytesBeforeEntry = size_t{64} * 1024;

}  // namespace

EntryStream::EntryStream(kj::Own<kj::AsyncIoStream> stream,
                         std::shared_ptr<const bool> entered)
    : stream(kj::mv(stream)), entered(std::move(entered)) {}

kj::Promise<size_t> EntryStream::tryRead(void* buffer,
                                         size_t min_bytes,
                                         size_t max_bytes) {
  return *this->entered ? this->stream->tryRead(buffer, min_bytes, max_bytes)
                        : this->ReadPart(static_cast<kj::byte*>(buffer),
                                         min_bytes, max_bytes, 0);
}

// One call may ask for a whole message. Only what the limit allows is read from
// the system, however many bytes the call has room for.
kj::Promise<size_t> EntryStream::ReadPart(kj::byte* buffer,
                                          size_t min_bytes,
                                          size_t max_bytes,
                                          size_t read_bytes) {
  if (*this->entered) {
    return this->stream
        ->tryRead(buffer + read_bytes, min_bytes - read_bytes,
                  max_bytes - read_bytes)
        .then([read_bytes](size_t size) { return read_bytes + size; });
  }
  const size_t allowed = kMaxBytesBeforeEntry - this->bytes_before_entry;
  if (allowed == 0) {
    logging::Write(
        logging::Level::kWarning,
        "a connection to the peers' port was closed: too many bytes "
        "without the fleet key",
        {{.name = "bytes", .value = std::to_string(this->bytes_before_entry)}});
    return KJ_EXCEPTION(DISCONNECTED, "too many bytes without the fleet key");
  }
  return this->stream
      ->tryRead(buffer + read_bytes, 1,
                std::min(max_bytes - read_bytes, allowed))
      .then([=, this](size_t size) -> kj::Promise<size_t> {
        this->bytes_before_entry += size;
        const size_t total = read_bytes + size;
        if (size == 0 || total >= min_bytes) {
          return total;
        }
        return this->ReadPart(buffer, min_bytes, max_bytes, total);
      });
}

kj::Promise<void> EntryStream::write(const void* buffer, size_t size) {
  return this->stream->write(buffer, size);
}

kj::Promise<void> EntryStream::write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
  return this->stream->write(pieces);
}

kj::Promise<void> EntryStream::whenWriteDisconnected() {
  return this->stream->whenWriteDisconnected();
}

void EntryStream::shutdownWrite() {
  this->stream->shutdownWrite();
}

void EntryStream::abortRead() {
  this->stream->abortRead();
}

void EntryStream::getsockopt(int level,
                             int option,
                             void* value,
                             kj::uint* length) {
  this->stream->getsockopt(level, option, value, length);
}

void EntryStream::setsockopt(int level,
                             int option,
                             const void* value,
                             kj::uint length) {
  this->stream->setsockopt(level, option, value, length);
}

}  // namespace kingcupstair::rpc
