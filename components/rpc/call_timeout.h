#ifndef COMPONENTS_RPC_CALL_TIMEOUT_H_
#define COMPONENTS_RPC_CALL_TIMEOUT_H_

#include <kj/async.h>
#include <kj/debug.h>

#include <algorithm>
#include <string>

#include "absl/status/status.h"
#include "components/base/time.h"
#include "components/rpc/loop.h"

namespace kingcupstair::rpc {

inline kj::Duration ToKj(Duration duration) {
  return std::max<int64_t>(0, duration.count()) * kj::MICROSECONDS;
}

/// Returns the result of `promise`, or an exception of type OVERLOADED if it
/// does not arrive within `timeout`.
template <typename T>
kj::Promise<T> WithTimeout(EventLoop& loop,
                           kj::Promise<T> promise,
                           Duration timeout) {
  return promise.exclusiveJoin(loop.io()
                                   .provider->getTimer()
                                   .afterDelay(ToKj(timeout))
                                   .then([]() -> kj::Promise<T> {
                                     return KJ_EXCEPTION(OVERLOADED,
                                                         "no answer in time");
                                   }));
}

/// Returns the status of a call of `step` to `host` that failed:
/// DeadlineExceeded after a timeout, and Unavailable after any other failure.
absl::Status FromException(const std::string& host,
                           const char* step,
                           const kj::Exception& error);

}  // namespace kingcupstair::rpc

#endif  // COMPONENTS_RPC_CALL_TIMEOUT_H_
