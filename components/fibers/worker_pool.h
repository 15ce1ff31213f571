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

/// Returns the io_context of the worker thread that the calling fiber runs on.
/// Returns null on a thread that is not a worker.
std::shared_ptr<boost::asio::io_context> CurrentIoContext();

/// Suspends the calling fiber for `duration`. Other fibers of its thread run.
void SleepFor(std::chrono::microseconds duration);

/// Fixed number of threads, each with its own fibers and io_context. A fiber
/// never moves to another thread.
class WorkerPool {
 public:
  explicit WorkerPool(int threads);
  /// Calls Stop.
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /// Starts a fiber that runs `task`; successive calls take the threads in
  /// turn. An exception ends the fiber only. Callable from any thread.
  void Spawn(std::function<void()> task);

  /// Starts a fiber that runs `task` on thread `index`, counted from 0.
  /// Callable from any thread.
  void SpawnOn(size_t index, std::function<void()> task);

  /// Returns the number of threads.
  size_t size() const { return this->io_contexts.size(); }

  /// Returns the io_context of thread `index`, counted from 0.
  boost::asio::io_context& IoContext(size_t index) {
    return *this->io_contexts[index];
  }

  /// Ends the threads and waits for them. A thread ends only when all of its
  /// fibers have ended.
  void Stop();

 private:
  void RunThread(size_t index);

  std::vector<std::shared_ptr<boost::asio::io_context>> io_contexts;
  std::vector<std::thread> threads;
  std::atomic<size_t> next_thread{0};
  std::atomic<bool> stopping{false};
};

}  // namespace kingcupstair::fibers

#endif  // COMPONENTS_FIBERS_WORKER_POOL_H_
