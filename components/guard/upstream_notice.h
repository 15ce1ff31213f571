#ifndef COMPONENTS_GUARD_UPSTREAM_NOTICE_H_
#define COMPONENTS_GUARD_UPSTREAM_NOTICE_H_

#include <optional>

#include "absl/status/statusor.h"
#include "components/dialect/dialect.h"
#include "components/http/message.h"

namespace kingcupstair::guard {

/// What an upstream says about itself in a response.
struct UpstreamNotice {
  /// Requests a second that the upstream takes from all hosts together; nullopt
  /// if it names no limit.
  std::optional<double> rate_limit;
  /// The upstream leaves and takes no new requests.
  bool leaving = false;

  bool operator==(const UpstreamNotice&) const = default;
};

/// Reads the notice in the headers of a response. Returns an error if the limit
/// is not a number of requests.
absl::StatusOr<UpstreamNotice> ReadUpstreamNotice(
    const HeaderNames& header_names,
    const http::Headers& headers);

}  // namespace kingcupstair::guard

#endif  // COMPONENTS_GUARD_UPSTREAM_NOTICE_H_
