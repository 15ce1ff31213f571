#ifndef COMPONENTS_BASE_CANCELLATION_H_
#define COMPONENTS_BASE_CANCELLATION_H_

#include <functional>
#include <memory>
#include <mutex>
#include <utility>

namespace kingcupstair {

/// Signal to the code that works on a request that no caller waits for the
/// response any more. Safe to use from several threads.
class Cancellation {
 public:
  void Cancel() {
    std::function<void()> pending_callback;
    {
      const std::lock_guard lock(this->mutex);
      this->cancelled = true;
      pending_callback = std::exchange(this->on_cancel, nullptr);
    }
    if (pending_callback) {
      pending_callback();
    }
  }

  bool IsCancelled() const {
    const std::lock_guard lock(this->mutex);
    return this->cancelled;
  }

  /// Calls `callback` at the cancellation, or now if already cancelled.
  /// Replaces an earlier callback. An empty `callback` removes it.
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
