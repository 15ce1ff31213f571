#include "components/rpc/loop.h"

#include <fcntl.h>
#include <unistd.h>

#include <future>
#include <memory>
#include <stdexcept>
#include <utility>

#include "components/logging/log.h"

namespace kingcupstair::rpc {
namespace {

class TaskErrorLog final : public kj::TaskSet::ErrorHandler {
 public:
  void taskFailed(kj::Exception&& exception) override {
    logging::Write(logging::Level::kWarning, "an RPC task failed",
                   {{.name = "error",
                     .value = std::string(exception.getDescription().cStr())}});
  }
};

}  // namespace

Loop::Loop() {
  int ends[2];
  if (pipe2(ends, O_CLOEXEC | O_NONBLOCK) != 0) {
    throw std::runtime_error("no pipe for the RPC loop");
  }
  this->wake_read = ends[0];
  this->wake_write = ends[1];
  std::promise<void> started;
  this->posted.push_back([&started] { started.set_value(); });
  this->thread = std::thread([this] { this->Run(); });
  this->Post([] {});
  started.get_future().wait();
}

Loop::~Loop() {
  this->Stop();
  close(this->wake_read);
  close(this->wake_write);
}

void Loop::Post(std::function<void()> task) {
  bool first = false;
  {
    const std::lock_guard lock(this->mutex);
    first = this->posted.empty();
    this->posted.push_back(std::move(task));
  }
  const char byte = 0;
  if (write(this->wake_write, &byte, 1) < 0 && first) {
    // The pipe is full, so the loop is about to wake up in any case.
    return;
  }
}

void Loop::PostAndWait(const std::function<void()>& task) {
  std::promise<void> done;
  this->Post([&] {
    task();
    done.set_value();
  });
  done.get_future().wait();
}

void Loop::Stop() {
  if (!this->thread.joinable()) {
    return;
  }
  this->Post([this] { this->end->fulfill(); });
  this->thread.join();
}

void Loop::AtEnd(std::function<void()> task) {
  this->at_end.push_back(std::move(task));
}

void Loop::Keep(kj::Promise<void> promise) {
  this->tasks->add(kj::mv(promise));
}

void Loop::Run() {
  auto io = kj::setupAsyncIo();
  TaskErrorLog error_log;
  auto task_set = std::make_unique<kj::TaskSet>(error_log);
  this->context = &io;
  this->tasks = task_set.get();
  auto ending = kj::newPromiseAndFulfiller<void>();
  this->end = ending.fulfiller.get();
  auto input = io.lowLevelProvider->wrapInputFd(this->wake_read);
  this->Keep(this->ReadWakeUps(*input));
  ending.promise.wait(io.waitScope);
  this->tasks = nullptr;
  task_set.reset();
  for (std::function<void()>& task : this->at_end) {
    task();
  }
  const std::lock_guard lock(this->mutex);
  this->posted.clear();
}

kj::Promise<void> Loop::ReadWakeUps(kj::AsyncInputStream& input) {
  return input.tryRead(this->wake_buffer, 1, sizeof(this->wake_buffer))
      .then([this, &input](size_t) {
        this->RunPosted();
        return this->ReadWakeUps(input);
      });
}

void Loop::RunPosted() {
  std::vector<std::function<void()>> batch;
  {
    const std::lock_guard lock(this->mutex);
    batch.swap(this->posted);
  }
  for (std::function<void()>& task : batch) {
    task();
  }
}

}  // namespace kingcupstair::rpc
