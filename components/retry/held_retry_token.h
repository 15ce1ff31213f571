#ifndef COMPONENTS_RETRY_HELD_RETRY_TOKEN_H_
#define COMPONENTS_RETRY_HELD_RETRY_TOKEN_H_

#include <functional>
#include <optional>

#include "components/base/time.h"

namespace kingcupstair::retry {

/// The retry token of one request from when it is taken until an attempt uses
/// it. Answers the load pattern of few free slots: a request that finds none
/// for its hedge tries again soon, and must not take another token each time.
class HeldRetryToken {
 public:
  /// Returns true if the request holds a token, or if `take` gets it one.
  bool Acquire(Instant now, const std::function<bool()>& take);

  /// Records that an attempt has used the token.
  void OnUsed() { this->taken_at.reset(); }

 private:
  std::optional<Instant> taken_at;
};

}  // namespace kingcupstair::retry

#endif  // COMPONENTS_RETRY_HELD_RETRY_TOKEN_H_
