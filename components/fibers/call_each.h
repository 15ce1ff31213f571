#ifndef COMPONENTS_FIBERS_CALL_EACH_H_
#define COMPONENTS_FIBERS_CALL_EACH_H_

#include <functional>
#include <string>
#include <vector>

namespace kingcupstair::fibers {

/// Calls `call` for each host at the same time, each in a fiber of its own, and
/// waits for all of them. Returns the number of calls that returned true. Runs
/// in a fiber of a worker pool.
int CallEach(const std::vector<std::string>& hosts,
             const std::function<bool(const std::string&)>& call);

}  // namespace kingcupstair::fibers

#endif  // COMPONENTS_FIBERS_CALL_EACH_H_
