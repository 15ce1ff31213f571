#include "components/fibers/boundary.h"

#include <boost/fiber/fiber.hpp>

#include <atomic>

#include "components/logging/log.h"

namespace kingcupstair::fibers {
namespace {

std::atomic<uint64_t> reported{0};

}  // namespace

void ReportException(const char* step, const std::exception& error) {
  ++reported;
  logging::Write(logging::Level::kError, "a step failed with an exception",
                 {{.name = "step", .value = step},
                  {.name = "error", .value = error.what()}});
}

uint64_t ReportedExceptions() {
  return reported;
}

// Only exceptions of the standard library's kind are caught: the one that
// unwinds the stack of a fiber that is ended must pass.
void Launch(const char* step, std::function<void()> work) {
  boost::fibers::fiber(boost::fibers::launch::post, [step,
                                                     work = std::move(work)] {
    RunContained(step, work);
  }).detach();
}

}  // namespace kingcupstair::fibers
