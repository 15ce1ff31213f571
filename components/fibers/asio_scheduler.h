#ifndef COMPONENTS_FIBERS_ASIO_SCHEDULER_H_
#define COMPONENTS_FIBERS_ASIO_SCHEDULER_H_

#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

#include <memory>

namespace kingcupstair::fibers {

/// Runs the fibers of one thread and the io_context that wakes them.
class AsioScheduler : public boost::fibers::algo::algorithm {
 public:
  explicit AsioScheduler(std::shared_ptr<boost::asio::io_context> io);

  void awakened(boost::fibers::context* context) noexcept override;
  boost::fibers::context* pick_next() noexcept override;
  bool has_ready_fibers() const noexcept override;
  void suspend_until(
      const std::chrono::steady_clock::time_point& wake) noexcept override;
  void notify() noexcept override;

 private:
  using ReadyQueue = boost::fibers::scheduler::ready_queue_type;

  std::shared_ptr<boost::asio::io_context> io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  ReadyQueue ready;
};

}  // namespace kingcupstair::fibers

#endif  // COMPONENTS_FIBERS_ASIO_SCHEDULER_H_
