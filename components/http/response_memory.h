#ifndef COMPONENTS_HTTP_RESPONSE_MEMORY_H_
#define COMPONENTS_HTTP_RESPONSE_MEMORY_H_

#include <cstddef>
#include <cstdint>

namespace kingcupstair::http {

/// Longest response body that is accepted.
inline constexpr size_t kMaxResponseBodyBytes = size_t{16} * 1024 * 1024;

/// Memory for the unfinished responses of one server. Answers the load pattern
/// of a server that sends without end on many connections at once: small
/// responses always find room, and of the others one at a time may grow to the
/// longest that is accepted while the rest share a pool.
class ResponseMemory {
 public:
  using ResponseId = uint64_t;

  struct Options {
    /// Part of each response that is not counted.
    size_t free_bytes = size_t{64} * 1024;
    /// Bytes that all responses together may hold beyond that.
    size_t pool_bytes = size_t{16} * 1024 * 1024;
  };

  explicit ResponseMemory(Options options);

  /// Returns whether the response may grow from `held` to `wanted` bytes now.
  bool TryGrow(ResponseId response, size_t held, size_t wanted);

  /// Returns the memory of a response that holds `held` bytes and has ended.
  void Release(ResponseId response, size_t held);

  /// Returns the bytes that are counted now.
  size_t pooled() const { return this->used; }

 private:
  size_t CountedBytes(size_t bytes) const;

  Options options;
  size_t used = 0;
  /// The response that may grow beyond the pool; 0 if there is none.
  ResponseId unpooled = 0;
  /// Bytes that this response held when it left the pool, still counted.
  size_t unpooled_held = 0;
};

}  // namespace kingcupstair::http

#endif  // COMPONENTS_HTTP_RESPONSE_MEMORY_H_
