#include "components/fibers/asio_scheduler.h"

#include <boost/asio/post.hpp>

namespace kingcupstair::fibers {

AsioScheduler::AsioScheduler(std::shared_ptr<boost::asio::io_context> io)
    : io(std::move(io)), work_guard(this->io->get_executor()) {}

void AsioScheduler::awakened(boost::fibers::context* context) noexcept {
  context->ready_link(this->ready_fibers);
}

// Completion handlers resume fibers. They run only in the dispatcher context,
// here and in suspend_until: there, no fiber is in the middle of suspending.
boost::fibers::context* AsioScheduler::pick_next() noexcept {
  if (boost::fibers::context::active()->is_context(
          boost::fibers::type::dispatcher_context)) {
    this->io->poll();
  }
  if (this->ready_fibers.empty()) {
    return nullptr;
  }
  boost::fibers::context* next = &this->ready_fibers.front();
  this->ready_fibers.pop_front();
  return next;
}

bool AsioScheduler::has_ready_fibers() const noexcept {
  return !this->ready_fibers.empty();
}

void AsioScheduler::suspend_until(
    const std::chrono::steady_clock::time_point& wake) noexcept {
  if (wake == std::chrono::steady_clock::time_point::max()) {
    this->io->run_one();
    return;
  }
  this->io->run_one_until(wake);
}

void AsioScheduler::notify() noexcept {
  boost::asio::post(*this->io, [] {});
}

}  // namespace kingcupstair::fibers
