#ifndef COMPONENTS_RPC_ENTRY_STREAM_H_
#define COMPONENTS_RPC_ENTRY_STREAM_H_

#include <kj/async-io.h>

#include <cstddef>
#include <memory>

namespace kingcupstair::rpc {

/// Connection of a peer that brings a limited number of bytes until the peer
/// has proved that it has the fleet key.
class EntryStream final : public kj::AsyncIoStream {
 public:
  /// `entered` becomes true once the peer has proved it.
  EntryStream(kj::Own<kj::AsyncIoStream> stream,
              std::shared_ptr<const bool> entered);

  kj::Promise<size_t> tryRead(void* buffer,
                              size_t min_bytes,
                              size_t max_bytes) override;
  kj::Promise<void> write(const void* buffer, size_t size) override;
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;
  void abortRead() override;
  void getsockopt(int level,
                  int option,
                  void* value,
                  kj::uint* length) override;
  void setsockopt(int level,
                  int option,
                  const void* value,
                  kj::uint length) override;

 private:
  /// Continues a call that has read `read_bytes` so far.
  kj::Promise<size_t> ReadPart(kj::byte* buffer,
                               size_t min_bytes,
                               size_t max_bytes,
                               size_t read_bytes);

  kj::Own<kj::AsyncIoStream> stream;
  std::shared_ptr<const bool> entered;
  size_t bytes_before_entry = 0;
};

}  // namespace kingcupstair::rpc

#endif  // COMPONENTS_RPC_ENTRY_STREAM_H_
