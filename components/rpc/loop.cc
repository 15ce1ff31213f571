#include "components/rpc/loop.h"

#include <fcntl.h>
#include <unistd.h>

#include <future>
#include <memory>
#include <stdexcept>
#include <utility>

#include "components/fibers/boundary.h"
#include "components/logging/log.h"

namespace kingcupstair::rpc {
namespace {

/// Logs the failure of a promise that the loop runs.
class TaskErrorLog final : public kj::TaskSet::ErrorHandler {
 public:
  void taskFailed(kj::Exception&& exception) override {
    logging::Write(logging::Level::kWarning, "an RPC task failed",
                   {{.name = "error",
                     .value = std::string(exception.getDescription().cStr())}});
  }
};

}  // namespace

EventLoop::EventLoop() {
  int pipe_fds[2];
  if (pipe2(pipe_fds, O_CLOEXEC | O_NONBLOCK) != 0) {
    throw std::runtime_error(
        "cannot create the wake-up pipe of the RPC event loop");
  }
  this->wake_read = pipe_fds[0];
  this->wake_write = pipe_fds[1];
  std::promise<void> started;
  this->posted.push_back([&started] { started.set_value(); });
  this->thread = std::thread([this] { this->Run(); });
  this->Post([] {});
  started.get_future().wait();
}

EventLoop::~EventLoop() {
  this->Stop();
  close(this->wake_read);
  close(this->wake_write);
}

void EventLoop::Post(std::function<void()> task) {
  bool first = false;
  {
    const std::lock_guard lock(this->mutex);
    first = this->posted.empty();
    this->posted.push_back(std::move(task));
  }
  const char byte = 0;
  if (write(this->wake_write, &byte, 1) < 0 && first) {
    // The pipe is full, so the loop wakes up without this byte.
    return;
  }
}

void EventLoop::PostAndWait(const std::function<void()>& task) {
  std::promise<void> done;
  this->Post([&] {
    fibers::RunContained("RPC task", task);
    done.set_value();
  });
  done.get_future().wait();
}

void EventLoop::Stop() {
  if (!this->thread.joinable()) {
    return;
  }
  this->Post([this] { this->stop_fulfiller->fulfill(); });
  this->thread.join();
}

void EventLoop::RunAtExit(std::function<void()> task) {
  this->exit_tasks.push_back(std::move(task));
}

void EventLoop::AddTask(kj::Promise<void> promise) {
  this->tasks->add(kj::mv(promise));
}

void EventLoop::Run() {
  auto io = kj::setupAsyncIo();
  TaskErrorLog error_log;
  auto task_set = std::make_unique<kj::TaskSet>(error_log);
  this->context = &io;
  this->tasks = task_set.get();
  auto stopped = kj::newPromiseAndFulfiller<void>();
  this->stop_fulfiller = stopped.fulfiller.get();
  auto input = io.lowLevelProvider->wrapInputFd(this->wake_read);
  this->AddTask(this->ReadWakeUps(*input));
  stopped.promise.wait(io.waitScope);
  this->tasks = nullptr;
  task_set.reset();
  for (std::function<void()>& task : this->exit_tasks) {
    task();
  }
  const std::lock_guard lock(this->mutex);
  this->posted.clear();
}

kj::Promise<void> EventLoop::ReadWakeUps(kj::AsyncInputStream& input) {
  return input.tryRead(this->wake_buffer, 1, sizeof(this->wake_buffer))
      .then([this, &input](size_t) {
        this->RunPosted();
        return this->ReadWakeUps(input);
      });
}

void EventLoop::RunPosted() {
  std::vector<std::function<void()>> batch;
  {
    const std::lock_guard lock(this->mutex);
    batch.swap(this->posted);
  }
  for (std::function<void()>& task : batch) {
    fibers::RunContained("RPC task", task);
  }
}

}  // namespace kingcupstair::rpc
