#include "components/guard/peer_bodies.h"

#include <algorithm>

namespace kingcupstair::guard {

class LeasedBytes {
 public:
  LeasedBytes(std::shared_ptr<std::atomic<size_t>> total, size_t bytes)
      : total(std::move(total)), bytes(bytes) {
    *this->total += bytes;
  }
  ~LeasedBytes() { *this->total -= this->bytes; }
  LeasedBytes(const LeasedBytes&) = delete;
  LeasedBytes& operator=(const LeasedBytes&) = delete;

 private:
  std::shared_ptr<std::atomic<size_t>> total;
  size_t bytes;
};

bool PeerBodies::TryHold(const std::string& request_id,
                         size_t bytes,
                         Instant expires_at) {
  if (this->options.max_bytes == 0 || bytes <= this->options.small_bytes) {
    return true;
  }
  const std::lock_guard lock(this->mutex);
  const auto place =
      std::find(this->waiting.begin(), this->waiting.end(), request_id);
  const bool is_first = this->waiting.empty() || place == this->waiting.begin();
  if (!is_first || !this->Fits(bytes)) {
    if (place == this->waiting.end()) {
      this->waiting.push_back(request_id);
    }
    return false;
  }
  if (place != this->waiting.end()) {
    this->waiting.erase(place);
  }
  // A single body of any length takes all the memory at most.
  this->held[request_id] = {
      .lease = std::make_shared<LeasedBytes>(
          this->total, std::min(bytes, this->options.max_bytes)),
      .expires_at = expires_at};
  return true;
}

bool PeerBodies::Fits(size_t bytes) const {
  const size_t taken = *this->total + this->options.own_bytes();
  return *this->total == 0 || (taken <= this->options.max_bytes &&
                               bytes <= this->options.max_bytes - taken);
}

void PeerBodies::StopWaiting(const std::string& request_id) {
  const std::lock_guard lock(this->mutex);
  std::erase(this->waiting, request_id);
}

BodyLease PeerBodies::Take(const std::string& request_id) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->held.find(request_id);
  if (found == this->held.end()) {
    return nullptr;
  }
  BodyLease lease = std::move(found->second.lease);
  this->held.erase(found);
  return lease;
}

void PeerBodies::Expire(Instant now) {
  const std::lock_guard lock(this->mutex);
  std::erase_if(this->held, [now](const auto& entry) {
    return entry.second.expires_at <= now;
  });
}

}  // namespace kingcupstair::guard
