#ifndef COMPONENTS_FIBERS_AWAIT_H_
#define COMPONENTS_FIBERS_AWAIT_H_

#include <utility>

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>

namespace kingcupstair::fibers {

/// Result of one asynchronous operation: its error and the bytes transferred.
struct Completion {
  boost::system::error_code error;
  size_t bytes = 0;
};

/// Starts an asynchronous operation and suspends the calling fiber until its
/// completion handler has run. `start` is called with the handler and has to
/// start the operation on the io_context of the calling thread.
template <typename Start>
Completion Await(Start&& start) {
  struct State {
    boost::fibers::context* fiber = boost::fibers::context::active();
    Completion completion;
    bool done = false;
    bool suspended = false;
  } state;
  start([&state](boost::system::error_code error, size_t bytes = 0) {
    state.completion = {.error = error, .bytes = bytes};
    state.done = true;
    if (state.suspended) {
      boost::fibers::context::active()->schedule(state.fiber);
    }
  });
  while (!state.done) {
    state.suspended = true;
    boost::fibers::context::active()->suspend();
  }
  return state.completion;
}

}  // namespace kingcupstair::fibers

#endif  // COMPONENTS_FIBERS_AWAIT_H_
