#ifndef COMPONENTS_BASE_ERROR_H_
#define COMPONENTS_BASE_ERROR_H_

#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace kingcupstair {

/// The step that failed and the peer that the step addressed.
struct ErrorOrigin {
  std::string step;
  std::string peer;

  bool operator==(const ErrorOrigin&) const = default;
};

/// Returns an error that carries its step and peer for OriginOf.
absl::Status ErrorAt(absl::StatusCode code,
                     const ErrorOrigin& origin,
                     std::string_view message);

/// Returns the origin of `status`. Both fields are empty if it has none.
ErrorOrigin OriginOf(const absl::Status& status);

/// Returns the message of `status` as a std::string.
std::string MessageOf(const absl::Status& status);

}  // namespace kingcupstair

#endif  // COMPONENTS_BASE_ERROR_H_
