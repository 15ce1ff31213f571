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

/// Fiber scheduler of one thread. Runs the ready fibers in the order in which
/// they became ready, and runs the completion handlers of `io`, which resume
/// the fibers that wait for them.
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
  /// Keeps `io` from stopping while no operation is pending.
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard;
  ReadyQueue ready_fibers;
};

}  // namespace kingcupstair::fibers

#endif  // COMPONENTS_FIBERS_ASIO_SCHEDULER_H_
