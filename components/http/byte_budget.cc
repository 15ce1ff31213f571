#include "components/http/byte_budget.h"

#include <algorithm>

namespace kingcupstair::http {
namespace {

/// Time in which a message that is closed returns its memory. Another owner may
/// hold it for longer.
constexpr Duration kCloseTime{std::chrono::milliseconds(100)};

}  // namespace

ByteBudget::ByteBudget(Options options) : options(options) {}

ByteBudget::HolderId ByteBudget::Add(Kind kind, Instant now) {
  const HolderId id = ++this->last_id;
  this->holders[id] = {.kind = kind,
                       .step_since = now,
                       // A response belongs to a request in progress.
                       .pinned = kind == Kind::kResponse};
  return id;
}

ByteBudget::Grant ByteBudget::TryGrow(HolderId id, size_t bytes, Instant now) {
  Holder& holder = this->holders.at(id);
  if (holder.closing) {
    return Grant::kClose;
  }
  const bool may_start = !holder.starting || this->MayStart(bytes);
  if (this->options.bytes == 0 || bytes <= holder.bytes ||
      (may_start && this->Fits(id, holder, bytes))) {
    this->Charge(id, std::max(bytes, holder.bytes));
    holder.waiting_since.reset();
    holder.step_since = now;
    return Grant::kGranted;
  }
  if (!holder.waiting_since.has_value()) {
    holder.waiting_since = now;
  }
  holder.small_wait = bytes <= this->options.small_bytes;
  if (!holder.pinned && now - *holder.waiting_since >= this->options.max_wait) {
    holder.closing = true;
    holder.step_since = now;
    holder.reported = true;
    return Grant::kClose;
  }
  this->CloseForOthers(holder, now);
  return holder.closing ? Grant::kClose : Grant::kWait;
}

ByteBudget::Grant ByteBudget::TryStart(HolderId id, size_t bytes, Instant now) {
  Holder& holder = this->holders.at(id);
  holder.starting = true;
  const Grant grant = this->TryGrow(id, bytes, now);
  holder.starting = false;
  if (grant == Grant::kGranted && bytes <= this->options.small_bytes) {
    holder.started_bytes = bytes;
    this->small_started_bytes += bytes;
  }
  return grant;
}

void ByteBudget::Charge(HolderId id, size_t bytes) {
  Holder& holder = this->holders.at(id);
  const size_t growth = bytes - std::min(bytes, holder.bytes);
  holder.bytes += growth;
  this->used_bytes += growth;
  if (holder.kind == Kind::kRequest) {
    this->request_bytes += growth;
  }
}

void ByteBudget::Pin(HolderId id) {
  Holder& holder = this->holders.at(id);
  holder.pinned = true;
  holder.waiting_since.reset();
}

void ByteBudget::Unpin(HolderId id, Instant now) {
  Holder& holder = this->holders.at(id);
  holder.pinned = false;
  holder.step_since = now;
}

void ByteBudget::OnProgress(HolderId id, Instant now) {
  this->holders.at(id).step_since = now;
}

void ByteBudget::Remove(HolderId id) {
  const auto found = this->holders.find(id);
  this->used_bytes -= found->second.bytes;
  if (found->second.kind == Kind::kRequest) {
    this->request_bytes -= found->second.bytes;
  }
  this->small_started_bytes -= found->second.started_bytes;
  if (this->exempt_response == id) {
    this->exempt_response = 0;
  }
  this->holders.erase(found);
}

std::optional<ByteBudget::HolderId> ByteBudget::TakeClosed() {
  for (auto& [id, holder] : this->holders) {
    if (holder.closing && !holder.reported) {
      holder.reported = true;
      return id;
    }
  }
  return std::nullopt;
}

size_t ByteBudget::RequestLimit() const {
  return static_cast<size_t>(static_cast<double>(this->options.bytes) *
                             this->options.request_fraction);
}

size_t ByteBudget::Reserve() const {
  return static_cast<size_t>(static_cast<double>(this->options.bytes) *
                             this->options.reserve_fraction);
}

// The oldest message goes first, so that some message gets complete. Alone, a
// request may be longer than the budget, and so may one response at a time:
// whatever the limits of a site are, each message inside them passes.
bool ByteBudget::Fits(HolderId id, const Holder& holder, size_t bytes) {
  const size_t growth = bytes - holder.bytes;
  if (bytes <= this->options.small_bytes) {
    return this->used_bytes + growth <= this->options.bytes + this->Reserve() ||
           this->used_bytes == holder.bytes;
  }
  if (!this->IsOldestWaiting(id, holder)) {
    return false;
  }
  const bool fits = this->used_bytes + growth <= this->options.bytes;
  if (holder.kind == Kind::kRequest) {
    return (fits && this->request_bytes + growth <= this->RequestLimit()) ||
           this->request_bytes - holder.bytes <= this->Reserve();
  }
  if (!fits && this->exempt_response == 0) {
    this->exempt_response = id;
  }
  return fits || this->exempt_response == id;
}

// Requests that a crowd has sent completely must leave room for the responses,
// without which none of them ends.
bool ByteBudget::MayStart(size_t bytes) const {
  return bytes > this->options.small_bytes ||
         this->small_started_bytes + bytes <= this->RequestLimit();
}

bool ByteBudget::IsOldestWaiting(HolderId id, const Holder& holder) const {
  for (const auto& [other_id, other] : this->holders) {
    if (other_id >= id) {
      break;
    }
    if (other.kind == holder.kind && other.waiting_since.has_value() &&
        !other.small_wait && !other.closing) {
      return false;
    }
  }
  return true;
}

// Closes one message at a time: the memory of the last one may be enough.
void ByteBudget::CloseForOthers(const Holder& waiting, Instant now) {
  Holder* slowest = nullptr;
  bool others_end = false;
  for (auto& [id, holder] : this->holders) {
    if (holder.closing && now - holder.step_since < kCloseTime) {
      return;
    }
    if (holder.closing) {
      continue;
    }
    const bool relevant =
        waiting.kind == Kind::kResponse || holder.kind == Kind::kRequest ||
        this->used_bytes > this->options.bytes - this->RequestLimit();
    if (!relevant || holder.bytes == 0 || holder.waiting_since.has_value()) {
      continue;
    }
    others_end = true;
    if (!holder.pinned &&
        now - holder.step_since >= this->options.max_step_time &&
        (slowest == nullptr || holder.step_since < slowest->step_since)) {
      slowest = &holder;
    }
  }
  if (slowest != nullptr) {
    slowest->closing = true;
    slowest->step_since = now;
  } else if (!others_end && waiting.kind == Kind::kRequest) {
    this->CloseYoungestWaiting(now);
  }
}

// All requests wait for memory that only they hold, so that one has to go.
void ByteBudget::CloseYoungestWaiting(Instant now) {
  for (auto at = this->holders.rbegin(); at != this->holders.rend(); ++at) {
    Holder& holder = at->second;
    if (holder.waiting_since.has_value() && !holder.pinned &&
        holder.bytes > 0) {
      holder.closing = true;
      holder.step_since = now;
      // It asks again, and is told then.
      holder.reported = true;
      return;
    }
  }
}

}  // namespace kingcupstair::http
