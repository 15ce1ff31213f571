#ifndef COMPONENTS_FIBERS_WORKER_POOL_H_
#define COMPONENTS_FIBERS_WORKER_POOL_H_

#include <utility>

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace kingcupstair::fibers {

/// The io_context of the worker thread that the calling fiber runs on.
std::shared_ptr<boost::asio::io_context> CurrentIo();

/// Suspends the calling fiber for `duration`.
void SleepFor(std::chrono::microseconds duration);

/// A fixed number of threads, each with its own fibers and io_context. Fibers
/// stay on the thread that started them.
class WorkerPool {
 public:
  explicit WorkerPool(int threads);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /// Starts a fiber on one of the threads, in turn. Callable from any thread.
  void Spawn(std::function<void()> task);

  /// Starts a fiber on thread `index`, from 0.
  void SpawnOn(size_t index, std::function<void()> task);

  size_t size() const { return this->contexts.size(); }

  /// The io_context of thread `index`.
  boost::asio::io_context& Io(size_t index) { return *this->contexts[index]; }

  /// Ends the threads once their running fibers have been abandoned or ended.
  void Stop();

 private:
  void RunThread(size_t index);

  std::vector<std::shared_ptr<boost::asio::io_context>> contexts;
  std::vector<std::thread> threads;
  std::atomic<size_t> next{0};
  std::atomic<bool> stopping{false};
};

}  // namespace kingcupstair::fibers

#endif  // COMPONENTS_FIBERS_WORKER_POOL_H_
