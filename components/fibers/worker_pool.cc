#include "components/fibers/worker_pool.h"

#include <boost/asio/post.hpp>
#include <boost/fiber/operations.hpp>

#include "components/fibers/asio_scheduler.h"
#include "components/fibers/boundary.h"

namespace kingcupstair::fibers {
namespace {

constexpr std::chrono::milliseconds kStopPollInterval{20};

thread_local std::shared_ptr<boost::asio::io_context> current_io;

}  // namespace

std::shared_ptr<boost::asio::io_context> CurrentIoContext() {
  return current_io;
}

void SleepFor(std::chrono::microseconds duration) {
  boost::this_fiber::sleep_for(duration);
}

WorkerPool::WorkerPool(int threads) {
  for (int i = 0; i < threads; ++i) {
    this->io_contexts.push_back(std::make_shared<boost::asio::io_context>(1));
  }
  for (size_t i = 0; i < this->io_contexts.size(); ++i) {
    this->threads.emplace_back([this, i] { this->RunThread(i); });
  }
}

WorkerPool::~WorkerPool() {
  this->Stop();
}

void WorkerPool::Spawn(std::function<void()> task) {
  this->SpawnOn(this->next_thread.fetch_add(1) % this->io_contexts.size(),
                std::move(task));
}

void WorkerPool::SpawnOn(size_t index, std::function<void()> task) {
  boost::asio::post(*this->io_contexts[index], [task =
                                                    std::move(task)]() mutable {
    RunContained("start a fiber", [&task] { Launch("task", std::move(task)); });
  });
}

void WorkerPool::Stop() {
  this->stopping = true;
  for (std::thread& thread : this->threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void WorkerPool::RunThread(size_t index) {
  current_io = this->io_contexts[index];
  boost::fibers::use_scheduling_algorithm<AsioScheduler>(current_io);
  while (!this->stopping) {
    boost::this_fiber::sleep_for(kStopPollInterval);
  }
}

}  // namespace kingcupstair::fibers
