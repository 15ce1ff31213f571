#ifndef COMPONENTS_GUARD_PEER_BODIES_H_
#define COMPONENTS_GUARD_PEER_BODIES_H_

#include <atomic>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "components/base/time.h"

namespace kingcupstair::guard {

class LeasedBytes;

/// Memory that one body takes, given back when the last owner drops it.
using BodyLease = std::shared_ptr<const LeasedBytes>;

/// Memory for long bodies of requests that other hosts send to this one. A body
/// gets its memory before it is sent, since the whole message is in memory
/// before it can be refused. Safe to use from several threads.
class PeerBodies {
 public:
  struct Options {
    /// Bytes of all long bodies together, those of `own_bytes` included; 0 for
    /// no limit.
    size_t max_bytes = 0;
    /// A body of this size or less needs no memory of its own.
    size_t small_bytes = size_t{64} * 1024;
    /// Returns the bytes of the messages of callers and upstreams.
    std::function<size_t()> own_bytes = [] { return size_t{0}; };
  };

  explicit PeerBodies(Options options) : options(std::move(options)) {}

  /// Takes memory for the body of an attempt, until `expires_at` if the attempt
  /// does not arrive. Returns false if there is none: the attempt then waits,
  /// and attempts that began to wait later get none before it. A single body
  /// always gets memory.
  bool TryHold(const std::string& request_id, size_t bytes, Instant expires_at);

  /// The attempt waits no more.
  void StopWaiting(const std::string& request_id);

  /// Returns the memory held for an attempt that has arrived; null if none.
  BodyLease Take(const std::string& request_id);

  /// Gives back the memory held for an attempt that won't arrive.
  void Drop(const std::string& request_id) { this->Take(request_id); }

  /// Gives back the memory of attempts that have not arrived in time.
  void Expire(Instant now);

  /// Returns the bytes of all bodies held.
  size_t used() const { return *this->total; }

 private:
  struct Held {
    BodyLease lease;
    Instant expires_at;
  };

  bool Fits(size_t bytes) const;

  Options options;
  /// Bytes of all leases. These may outlive this object.
  std::shared_ptr<std::atomic<size_t>> total =
      std::make_shared<std::atomic<size_t>>(0);
  std::mutex mutex;
  std::map<std::string, Held> held;
  /// Attempts that wait for memory, oldest first.
  std::deque<std::string> waiting;
};

}  // namespace kingcupstair::guard

#endif  // COMPONENTS_GUARD_PEER_BODIES_H_
