#ifndef COMPONENTS_RPC_BODY_SOURCE_H_
#define COMPONENTS_RPC_BODY_SOURCE_H_

#include <kj/async.h>

#include <cstddef>
#include <memory>
#include <string>

#include "components/http/body.h"
#include "components/rpc/peer.capnp.h"
#include "components/rpc/traffic_counters.h"

namespace kingcupstair::rpc {

/// Gives another host the body of a request in parts, so that neither host has
/// it in memory twice. Only for the loop's thread.
class BodySource final : public wire::BodySource::Server {
 public:
  BodySource(http::Body body, std::shared_ptr<HostTraffic> traffic);

  kj::Promise<void> part(PartContext context) override;

 private:
  http::Body body;
  std::shared_ptr<HostTraffic> traffic;
};

/// Reads a body of `bytes` bytes from another host. Fails if a part has another
/// size than was asked for. Only for the loop's thread.
kj::Promise<std::string> ReadBody(wire::BodySource::Client source,
                                  size_t bytes,
                                  std::shared_ptr<HostTraffic> traffic);

}  // namespace kingcupstair::rpc

#endif  // COMPONENTS_RPC_BODY_SOURCE_H_
