#ifndef COMPONENTS_RPC_LOOP_H_
#define COMPONENTS_RPC_LOOP_H_

#include <kj/async-io.h>

#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace kingcupstair::rpc {

/// Thread that runs the KJ event loop, on which the Cap'n Proto RPC library
/// works. All objects of the two libraries are created, used and destroyed on
/// this thread.
class EventLoop {
 public:
  /// Returns once the event loop runs. Throws std::runtime_error if it can't
  /// create its pipe.
  EventLoop();
  /// Calls Stop.
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Queues `task` to run on the loop's thread. Callable from any thread.
  void Post(std::function<void()> task);

  /// Runs `task` on the loop's thread and waits until it has returned. Must not
  /// be called on the loop's thread, which would wait for itself.
  void PostAndWait(const std::function<void()>& task);

  /// Ends the thread and waits for it. Cancels the promises that still run.
  /// Tasks posted later never run.
  void Stop();

  /// Returns the KJ event loop's context. Only for the loop's thread.
  kj::AsyncIoContext& io() { return *this->context; }

  /// Registers `task` to run on the loop's thread after the loop has ended, to
  /// destroy objects of the RPC library. Only for the loop's thread.
  void RunAtExit(std::function<void()> task);

  /// Owns `promise` until it ends or the loop ends, and logs its failure. Only
  /// for the loop's thread.
  void AddTask(kj::Promise<void> promise);

 private:
  void Run();
  kj::Promise<void> ReadWakeUps(kj::AsyncInputStream& input);
  void RunPosted();

  kj::AsyncIoContext* context = nullptr;
  kj::TaskSet* tasks = nullptr;
  kj::PromiseFulfiller<void>* stop_fulfiller = nullptr;
  std::vector<std::function<void()>> exit_tasks;
  // The pipe through which Post wakes the loop.
  int wake_read = -1;
  int wake_write = -1;
  std::mutex mutex;
  std::vector<std::function<void()>> posted;
  char wake_buffer[64] = {};
  std::thread thread;
};

}  // namespace kingcupstair::rpc

#endif  // COMPONENTS_RPC_LOOP_H_
