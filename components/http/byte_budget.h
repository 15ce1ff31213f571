#ifndef COMPONENTS_HTTP_BYTE_BUDGET_H_
#define COMPONENTS_HTTP_BYTE_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "components/base/time.h"

namespace kingcupstair::http {

/// Memory of a process for the messages that it holds: requests that are
/// received, requests in progress, and responses until they are written. A
/// message asks before it grows. If there is no room it waits, oldest first,
/// and messages whose clients make no progress are closed.
class ByteBudget {
 public:
  using HolderId = uint64_t;

  enum class Kind {
    kRequest,   ///< Received from a client.
    kResponse,  ///< Read from an upstream or another host.
  };

  enum class Grant {
    kGranted,
    kWait,   ///< Ask again later.
    kClose,  ///< Give the message up; its memory is needed for others.
  };

  struct Options {
    /// Bytes of all messages together; 0 for no limit.
    size_t bytes = 0;
    /// Part of `bytes` that requests may hold. The rest is left to responses,
    /// without which no request in progress would end.
    double request_fraction = 0.5;
    /// A message of this size or less may use the reserve, so that small
    /// requests are served while large ones wait.
    size_t small_bytes = size_t{64} * 1024;
    /// Bytes on top of `bytes` for small messages, as a fraction.
    double reserve_fraction = 0.25;
    /// While others wait, a message whose client takes longer for one step may
    /// be closed.
    Duration max_step_time{std::chrono::milliseconds(500)};
    /// Longest time that a request waits for memory.
    Duration max_wait{std::chrono::seconds(5)};
  };

  explicit ByteBudget(Options options);

  /// Adds a message that holds nothing yet.
  HolderId Add(Kind kind, Instant now);

  /// Asks for memory, `bytes` in all, before the next step. Ends the step
  /// before.
  Grant TryGrow(HolderId holder, size_t bytes, Instant now);

  /// Asks for memory, `bytes` in all, to handle a request that was received.
  /// Small requests in progress hold no more than the part of requests.
  Grant TryStart(HolderId holder, size_t bytes, Instant now);

  /// Adds memory that is in use already, beyond the limit if need be.
  void Charge(HolderId holder, size_t bytes);

  /// From now on the message is in progress and is not closed.
  void Pin(HolderId holder);

  /// From now on the message is written to a client, and is closed if the
  /// client is slow while others wait.
  void Unpin(HolderId holder, Instant now);

  /// The client has taken a part of the message.
  void OnProgress(HolderId holder, Instant now);

  void Remove(HolderId holder);

  /// Returns a message that has to be closed, each one once.
  std::optional<HolderId> TakeClosed();

  /// Returns the bytes held now.
  size_t used() const { return this->used_bytes; }

 private:
  struct Holder {
    Kind kind = Kind::kRequest;
    size_t bytes = 0;
    Instant step_since;
    std::optional<Instant> waiting_since;
    bool small_wait = false;
    bool pinned = false;
    bool starting = false;
    /// Bytes with which a small request was started.
    size_t started_bytes = 0;
    bool closing = false;
    bool reported = false;
  };

  bool Fits(HolderId id, const Holder& holder, size_t bytes);
  bool MayStart(size_t bytes) const;
  bool IsOldestWaiting(HolderId id, const Holder& holder) const;
  size_t RequestLimit() const;
  size_t Reserve() const;
  void CloseForOthers(const Holder& waiting, Instant now);
  void CloseYoungestWaiting(Instant now);

  Options options;
  std::map<HolderId, Holder> holders;
  HolderId last_id = 0;
  size_t used_bytes = 0;
  /// Part of `used_bytes` in requests.
  size_t request_bytes = 0;
  /// Bytes of the small requests that were started.
  size_t small_started_bytes = 0;
  /// The response that may exceed the budget; 0 if there is none.
  HolderId exempt_response = 0;
};

}  // namespace kingcupstair::http

#endif  // COMPONENTS_HTTP_BYTE_BUDGET_H_
