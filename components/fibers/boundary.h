#ifndef COMPONENTS_FIBERS_BOUNDARY_H_
#define COMPONENTS_FIBERS_BOUNDARY_H_

#include <cstdint>
#include <exception>
#include <functional>
#include <utility>

namespace kingcupstair::fibers {

/// Logs and counts an exception that `step` threw.
void ReportException(const char* step, const std::exception& error);

/// Returns the number of exceptions reported since the process started.
uint64_t ReportedExceptions();

/// Returns the result of `work`, or that of `on_exception` if `work` throws.
template <typename Work, typename OnException>
auto RunOr(const char* step, Work&& work, OnException&& on_exception)
    -> decltype(work()) {
  try {
    return std::forward<Work>(work)();
  } catch (const std::exception& error) {
    ReportException(step, error);
  }
  return std::forward<OnException>(on_exception)();
}

/// Runs `work`. Returns false if it throws.
template <typename Work>
bool RunContained(const char* step, Work&& work) {
  return RunOr(
      step,
      [&work] {
        std::forward<Work>(work)();
        return true;
      },
      [] { return false; });
}

/// Runs `work` in a fiber of its own on the thread of the calling fiber. An
/// exception ends the fiber only.
void Launch(const char* step, std::function<void()> work);

}  // namespace kingcupstair::fibers

#endif  // COMPONENTS_FIBERS_BOUNDARY_H_
