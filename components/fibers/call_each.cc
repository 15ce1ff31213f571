#include "components/fibers/call_each.h"
#include "components/fibers/boundary.h"

#include <boost/fiber/fiber.hpp>

#include <atomic>

namespace kingcupstair::fibers {

int CallEach(const std::vector<std::string>& hosts,
             const std::function<bool(const std::string&)>& call) {
  std::atomic<int> succeeded{0};
  std::vector<boost::fibers::fiber> fibers;
  for (const std::string& host : hosts) {
    fibers.emplace_back([&, host] {
      RunContained("call a host", [&] { succeeded += call(host) ? 1 : 0; });
    });
  }
  for (boost::fibers::fiber& fiber : fibers) {
    fiber.join();
  }
  return succeeded;
}

}  // namespace kingcupstair::fibers
