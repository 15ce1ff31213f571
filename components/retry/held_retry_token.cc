#include "components/retry/held_retry_token.h"

namespace kingcupstair::retry {
namespace {

/// Time for which a token can be used. The budget counts it when it is taken,
/// so an attempt much later would fall into another window.
constexpr Duration kLifetime{std::chrono::seconds(1)};

}  // namespace

bool HeldRetryToken::Acquire(Instant now, const std::function<bool()>& take) {
  if (this->taken_at.has_value() && now - *this->taken_at < kLifetime) {
    return true;
  }
  this->taken_at.reset();
  if (!take()) {
    return false;
  }
  this->taken_at = now;
  return true;
}

}  // namespace kingcupstair::retry
