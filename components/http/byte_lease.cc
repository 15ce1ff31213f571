#include "components/http/byte_lease.h"

#include <malloc.h>

#include <map>
#include <mutex>
#include <utility>

namespace kingcupstair::http {
namespace {

/// Part of the memory of a process that is planned for messages. The rest is
/// for the process itself (17 MB), the reserve for small messages, one long
/// request and one long response beyond the budget, and copies while a body
/// grows.
constexpr double kMessageFraction = 0.3;
/// The allocator otherwise raises its threshold to the size of freed bodies
/// and keeps their memory for smaller allocations.
constexpr int kMmapThreshold = 128 * 1024;

struct ProcessBudget {
  std::mutex mutex;
  bool enabled = false;
  ByteBudget budget{{}};
  std::map<ByteBudget::HolderId, std::function<void()>> on_close;
  uint64_t closed = 0;

  /// Called with the mutex held. The callbacks only post to other threads.
  void CallClosed() {
    while (const auto id = this->budget.TakeClosed()) {
      ++this->closed;
      const auto found = this->on_close.find(*id);
      if (found != this->on_close.end() && found->second) {
        found->second();
      }
    }
  }
};

// Never destroyed: threads may still hold leases when the process exits.
ProcessBudget& Process() {
  static auto* process = new ProcessBudget;
  return *process;
}

}  // namespace

void SetProcessByteBudget(const ByteBudget::Options& options) {
  ProcessBudget& process = Process();
  const std::lock_guard lock(process.mutex);
  process.budget = ByteBudget(options);
  process.enabled = options.bytes > 0;
}

ByteBudgetUse ProcessByteBudgetUse() {
  ProcessBudget& process = Process();
  const std::lock_guard lock(process.mutex);
  return {.used = process.budget.used(), .closed = process.closed};
}

size_t PartOfMemory(int memory_mb, double fraction) {
  constexpr double kBytesPerMb = 1e6;
  return static_cast<size_t>(memory_mb * kBytesPerMb * fraction);
}

size_t MessageBytesOf(int memory_mb) {
  return PartOfMemory(memory_mb, kMessageFraction);
}

void BoundMessageMemory(int memory_mb) {
  if (memory_mb == 0) {
    return;
  }
  mallopt(M_MMAP_THRESHOLD, kMmapThreshold);
  mallopt(M_TRIM_THRESHOLD, kMmapThreshold);
  SetProcessByteBudget({.bytes = MessageBytesOf(memory_mb)});
}

bool HasMessageMemoryBound() {
  ProcessBudget& process = Process();
  const std::lock_guard lock(process.mutex);
  return process.enabled;
}

std::shared_ptr<ByteLease> ByteLease::Take(ByteBudget::Kind kind) {
  ProcessBudget& process = Process();
  const std::lock_guard lock(process.mutex);
  if (!process.enabled) {
    return nullptr;
  }
  return std::shared_ptr<ByteLease>(
      new ByteLease(process.budget.Add(kind, MonotonicNow())));
}

ByteLease::~ByteLease() {
  ProcessBudget& process = Process();
  const std::lock_guard lock(process.mutex);
  process.on_close.erase(this->id);
  process.budget.Remove(this->id);
}

ByteBudget::Grant ByteLease::TryGrow(size_t bytes) {
  return this->Ask(&ByteBudget::TryGrow, bytes);
}

ByteBudget::Grant ByteLease::TryStart(size_t bytes) {
  return this->Ask(&ByteBudget::TryStart, bytes);
}

ByteBudget::Grant ByteLease::Ask(Question question, size_t bytes) {
  ProcessBudget& process = Process();
  const std::lock_guard lock(process.mutex);
  const auto grant =
      (process.budget.*question)(this->id, bytes, MonotonicNow());
  process.closed += grant == ByteBudget::Grant::kClose ? 1 : 0;
  process.CallClosed();
  return grant;
}

void ByteLease::Charge(size_t bytes) {
  ProcessBudget& process = Process();
  const std::lock_guard lock(process.mutex);
  process.budget.Charge(this->id, bytes);
}

void ByteLease::Pin() {
  ProcessBudget& process = Process();
  const std::lock_guard lock(process.mutex);
  process.budget.Pin(this->id);
}

void ByteLease::Unpin() {
  ProcessBudget& process = Process();
  const std::lock_guard lock(process.mutex);
  process.budget.Unpin(this->id, MonotonicNow());
}

void ByteLease::OnProgress() {
  ProcessBudget& process = Process();
  const std::lock_guard lock(process.mutex);
  process.budget.OnProgress(this->id, MonotonicNow());
}

void ByteLease::OnClose(std::function<void()> callback) {
  ProcessBudget& process = Process();
  const std::lock_guard lock(process.mutex);
  process.on_close[this->id] = std::move(callback);
}

}  // namespace kingcupstair::http
