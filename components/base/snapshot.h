#ifndef COMPONENTS_BASE_SNAPSHOT_H_
#define COMPONENTS_BASE_SNAPSHOT_H_

#include <atomic>
#include <memory>
#include <utility>

namespace kingcupstair {

/// A read-copy-update cell: readers take a consistent immutable value, and a
/// writer publishes a new value as a whole. An old value is destroyed when its
/// last reader releases it.
template <typename T>
class Snapshot {
 public:
  Snapshot() : cell(std::make_shared<const T>()) {}

  std::shared_ptr<const T> Read() const {
    return this->cell.load(std::memory_order_acquire);
  }

  void Publish(T value) {
    this->cell.store(std::make_shared<const T>(std::move(value)),
                     std::memory_order_release);
  }

  void Publish(std::shared_ptr<const T> value) {
    this->cell.store(std::move(value), std::memory_order_release);
  }

 private:
  std::atomic<std::shared_ptr<const T>> cell;
};

}  // namespace kingcupstair

#endif  // COMPONENTS_BASE_SNAPSHOT_H_
