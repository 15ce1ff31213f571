#ifndef COMPONENTS_BASE_ERROR_H_
#define COMPONENTS_BASE_ERROR_H_

#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace kingcupstair {

/// The step and the peer at which an error arose.
struct ErrorOrigin {
  std::string step;
  std::string peer;

  bool operator==(const ErrorOrigin&) const = default;
};

/// Builds an error that carries its step and peer, readable by OriginOf.
absl::Status ErrorAt(absl::StatusCode code,
                     const ErrorOrigin& origin,
                     std::string_view message);

/// The origin carried by `status`; both parts are empty when it carries none.
ErrorOrigin OriginOf(const absl::Status& status);

/// The message of `status` as a string of the standard library.
std::string MessageOf(const absl::Status& status);

}  // namespace kingcupstair

#endif  // COMPONENTS_BASE_ERROR_H_
