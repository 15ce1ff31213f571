#ifndef COMPONENTS_HTTP_BYTE_LEASE_H_
#define COMPONENTS_HTTP_BYTE_LEASE_H_

#include <functional>
#include <memory>

#include "components/http/byte_budget.h"

namespace kingcupstair::http {

/// Sets the budget of this process. Call before the first lease is taken.
void SetProcessByteBudget(const ByteBudget::Options& options);

/// Returns the bytes of a part of `memory_mb` millions of bytes.
size_t PartOfMemory(int memory_mb, double fraction);

/// Returns the bytes of all messages for a process with `memory_mb` millions of
/// bytes; 0 if the memory is not known.
size_t MessageBytesOf(int memory_mb);

/// Sets the budget for a process with that memory, and returns freed memory to
/// the system at once. Does nothing if the memory is not known.
void BoundMessageMemory(int memory_mb);

/// Returns whether the messages of this process are bounded.
bool HasMessageMemoryBound();

/// Counts of the budget of this process.
struct ByteBudgetUse {
  size_t used = 0;
  /// Messages that were given up to make room.
  uint64_t closed = 0;
};
ByteBudgetUse ProcessByteBudgetUse();

/// Part of one message in the budget of this process, returned when the last
/// owner of the message drops it. Safe to use from several threads.
class ByteLease {
 public:
  /// Returns null if the process has no budget.
  static std::shared_ptr<ByteLease> Take(ByteBudget::Kind kind);

  ~ByteLease();
  ByteLease(const ByteLease&) = delete;
  ByteLease& operator=(const ByteLease&) = delete;

  ByteBudget::Grant TryGrow(size_t bytes);
  ByteBudget::Grant TryStart(size_t bytes);
  void Charge(size_t bytes);
  void Pin();
  void Unpin();
  void OnProgress();

  /// Sets what is called, on any thread, when the message is chosen to be
  /// closed. An empty function removes it.
  void OnClose(std::function<void()> callback);

 private:
  using Question = ByteBudget::Grant (ByteBudget::*)(ByteBudget::HolderId,
                                                     size_t,
                                                     Instant);

  ByteBudget::Grant Ask(Question question, size_t bytes);

  explicit ByteLease(ByteBudget::HolderId id) : id(id) {}

  ByteBudget::HolderId id;
};

using ByteLeasePtr = std::shared_ptr<ByteLease>;

}  // namespace kingcupstair::http

#endif  // COMPONENTS_HTTP_BYTE_LEASE_H_
