#ifndef COMPONENTS_RPC_LOOP_H_
#define COMPONENTS_RPC_LOOP_H_

#include <kj/async-io.h>

#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace kingcupstair::rpc {

/// A thread that runs the event loop of the RPC library. Everything that
/// belongs to that library is made, used and dropped on this thread.
class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /// Runs `task` on the loop's thread. Callable from any thread.
  void Post(std::function<void()> task);

  /// Runs `task` on the loop's thread and waits for it. Not callable from the
  /// loop's own thread.
  void PostAndWait(const std::function<void()>& task);

  /// Ends the thread; tasks posted later never run.
  void Stop();

  /// For use on the loop's thread only.
  kj::AsyncIoContext& io() { return *this->context; }

  /// Runs `task` on the loop's thread when the loop has ended, to drop what
  /// belongs to the RPC library. On the loop's thread only.
  void AtEnd(std::function<void()> task);

  /// Keeps `promise` running until it ends. On the loop's thread only.
  void Keep(kj::Promise<void> promise);

 private:
  void Run();
  kj::Promise<void> ReadWakeUps(kj::AsyncInputStream& input);
  void RunPosted();

  kj::AsyncIoContext* context = nullptr;
  kj::TaskSet* tasks = nullptr;
  kj::PromiseFulfiller<void>* end = nullptr;
  std::vector<std::function<void()>> at_end;
  int wake_read = -1;
  int wake_write = -1;
  std::mutex mutex;
  std::vector<std::function<void()>> posted;
  char wake_buffer[64] = {};
  std::thread thread;
};

}  // namespace kingcupstair::rpc

#endif  // COMPONENTS_RPC_LOOP_H_
