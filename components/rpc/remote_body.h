#ifndef COMPONENTS_RPC_REMOTE_BODY_H_
#define COMPONENTS_RPC_REMOTE_BODY_H_

#include <cstddef>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "components/base/time.h"
#include "components/http/body.h"
#include "components/rpc/loop.h"
#include "components/rpc/peer.capnp.h"
#include "components/rpc/traffic_counters.h"

namespace kingcupstair::rpc {

/// A response body that another host keeps until this process has memory for it
/// and has read it from there, in parts.
class RemoteBody {
 public:
  struct Options {
    /// The host that keeps the body.
    std::string host;
    size_t bytes = 0;
    /// Counts the bytes of the calls.
    std::shared_ptr<HostTraffic> traffic;
  };

  /// Only for the loop's thread. All other functions are for any other.
  RemoteBody(EventLoop& loop, wire::Ticket::Client ticket, Options options);
  ~RemoteBody();
  RemoteBody(const RemoteBody&) = delete;
  RemoteBody& operator=(const RemoteBody&) = delete;

  /// Returns the body, which holds its part of the memory for messages.
  /// Suspends the calling fiber. The status is DeadlineExceeded if the body is
  /// not there within `timeout`, ResourceExhausted if this process had no
  /// memory for it, and Unavailable after any other failure.
  absl::StatusOr<http::Body> Read(Duration timeout);

 private:
  absl::StatusOr<std::string> ReadPart(size_t offset,
                                       size_t size,
                                       Duration timeout);

  EventLoop& loop;
  Options options;
  /// Used and released on the loop's thread only.
  std::shared_ptr<wire::Ticket::Client> ticket;
};

}  // namespace kingcupstair::rpc

#endif  // COMPONENTS_RPC_REMOTE_BODY_H_
