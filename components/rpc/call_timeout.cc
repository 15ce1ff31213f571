#include "components/rpc/call_timeout.h"

#include "components/base/error.h"

namespace kingcupstair::rpc {

absl::Status FromException(const std::string& host,
                           const char* step,
                           const kj::Exception& error) {
  // WithTimeout reports a timeout as OVERLOADED.
  const bool timed_out = error.getType() == kj::Exception::Type::OVERLOADED;
  return ErrorAt(timed_out ? absl::StatusCode::kDeadlineExceeded
                           : absl::StatusCode::kUnavailable,
                 {.step = step, .peer = host}, error.getDescription().cStr());
}

}  // namespace kingcupstair::rpc
