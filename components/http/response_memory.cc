#include "components/http/response_memory.h"

#include <algorithm>

namespace kingcupstair::http {

ResponseMemory::ResponseMemory(Options options) : options(options) {}

size_t ResponseMemory::CountedBytes(size_t bytes) const {
  return bytes - std::min(bytes, this->options.free_bytes);
}

// Without the one response that may leave the pool, responses that have filled
// the pool together would all wait for each other.
bool ResponseMemory::TryGrow(ResponseId response, size_t held, size_t wanted) {
  if (response == this->unpooled) {
    return true;
  }
  const size_t growth = this->CountedBytes(wanted) - this->CountedBytes(held);
  if (growth == 0 || this->used + growth <= this->options.pool_bytes) {
    this->used += growth;
    return true;
  }
  if (this->unpooled == 0) {
    this->unpooled = response;
    this->unpooled_held = this->CountedBytes(held);
    return true;
  }
  return false;
}

void ResponseMemory::Release(ResponseId response, size_t held) {
  if (response == this->unpooled) {
    this->used -= this->unpooled_held;
    this->unpooled = 0;
    this->unpooled_held = 0;
    return;
  }
  this->used -= this->CountedBytes(held);
}

}  // namespace kingcupstair::http
