#ifndef COMPONENTS_ONCE_RUN_REQUEST_H_
#define COMPONENTS_ONCE_RUN_REQUEST_H_

#include <cstdint>
#include <string>

#include "components/base/time.h"
#include "components/http/message.h"
#include "components/once/crash_ledger.h"

namespace kingcupstair::once {

/// One attempt to run a request on a chosen upstream.
struct RunRequest {
  /// Unique to this attempt.
  std::string request_id;
  /// Life of the host it is meant for; another life refuses it.
  uint64_t incarnation = 0;
  std::string organisation;
  std::string upstream;
  Fingerprint fingerprint = 0;
  bool idempotent = false;
  /// The caller's Idempotency-Key made unique by organisation; may be empty.
  std::string dedupe_key;
  Duration time_left{};
  http::Request request;

  bool operator==(const RunRequest&) const = default;
};

}  // namespace kingcupstair::once

#endif  // COMPONENTS_ONCE_RUN_REQUEST_H_
