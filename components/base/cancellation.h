#ifndef COMPONENTS_BASE_CANCELLATION_H_
#define COMPONENTS_BASE_CANCELLATION_H_

#include <functional>
#include <memory>
#include <mutex>
#include <utility>

namespace kingcupstair {

/// Tells whoever works on a request that nobody waits for its answer any more.
/// Safe to use from several threads.
class Cancellation {
 public:
  void Cancel() {
    std::function<void()> called;
    {
      const std::lock_guard lock(this->mutex);
      this->cancelled = true;
      called = std::exchange(this->on_cancel, nullptr);
    }
    if (called) {
      called();
    }
  }

  bool IsCancelled() const {
    const std::lock_guard lock(this->mutex);
    return this->cancelled;
  }

  /// Calls `callback` at the cancellation, or now if that has come already.
  /// Replaces an earlier one; an empty one takes it back.
  void OnCancel(std::function<void()> callback) {
    {
      const std::lock_guard lock(this->mutex);
      if (!this->cancelled) {
        this->on_cancel = std::move(callback);
        return;
      }
    }
    if (callback) {
      callback();
    }
  }

 private:
  mutable std::mutex mutex;
  bool cancelled = false;
  std::function<void()> on_cancel;
};

using CancellationPtr = std::shared_ptr<Cancellation>;

}  // namespace kingcupstair

#endif  // COMPONENTS_BASE_CANCELLATION_H_
