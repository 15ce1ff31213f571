#include "components/once/run_ledger.h"

namespace kingcupstair::once {

RunLedger::RunLedger(Options options) : options(options) {}

AcceptResult RunLedger::Accept(const std::string& id, Instant now) {
  this->Expire(now);
  const auto [at, added] = this->entries.emplace(id, Accepted{});
  if (added) {
    return AcceptResult::kAccepted;
  }
  return std::holds_alternative<Fence>(at->second) ? AcceptResult::kFenced
                                                   : AcceptResult::kDuplicate;
}

bool RunLedger::TryMarkForwarded(const std::string& id) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end() ||
      !std::holds_alternative<Accepted>(found->second)) {
    return false;
  }
  found->second = Forwarded{};
  return true;
}

// A request that ended without having run is recorded as a fence, not as an
// outcome, so that a later copy of the request is refused as not run, too.
void RunLedger::Finish(const std::string& id,
                       const Outcome& outcome,
                       Instant now) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end() ||
      std::holds_alternative<Fence>(found->second)) {
    return;
  }
  this->RecordEnd(id, now);
  if (std::holds_alternative<NotRun>(outcome)) {
    found->second = Fence{};
    return;
  }
  const auto* ran = std::get_if<Ran>(&outcome);
  const size_t bytes = ran == nullptr ? 0 : ran->response.body.size();
  found->second = Finished{.outcome = outcome};
  this->retained.push_back({.id = id, .bytes = bytes});
  this->retained_bytes += bytes;
  this->DropOldestResponses();
}

Resolution RunLedger::Resolve(const std::string& id, Instant now) {
  const auto [at, added] = this->entries.emplace(id, Fence{});
  if (added || std::holds_alternative<Accepted>(at->second)) {
    at->second = Fence{};
    this->RecordEnd(id, now);
  }
  return *this->Peek(id);
}

std::optional<Resolution> RunLedger::Peek(const std::string& id) const {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) {
    return std::nullopt;
  }
  if (const auto* finished = std::get_if<Finished>(&found->second)) {
    return finished->outcome;
  }
  if (std::holds_alternative<Fence>(found->second)) {
    return Outcome{NotRun{.reason = RefusalReason::kFenced}};
  }
  if (std::holds_alternative<ResponseDropped>(found->second)) {
    return Outcome{Unknown{.detail = "it ran; its answer is no longer kept"}};
  }
  return StillRunning{};
}

void RunLedger::Expire(Instant now) {
  while (!this->ended.empty() &&
         this->ended.front().at + this->options.retention <= now) {
    const std::string& id = this->ended.front().id;
    if (!this->retained.empty() && this->retained.front().id == id) {
      this->retained_bytes -= this->retained.front().bytes;
      this->retained.pop_front();
    }
    this->entries.erase(id);
    this->ended.pop_front();
  }
}

void RunLedger::RecordEnd(const std::string& id, Instant now) {
  this->ended.push_back({.id = id, .at = now});
}

void RunLedger::DropOldestResponses() {
  while (this->retained_bytes > this->options.max_retained_bytes) {
    const RetainedResponse& oldest = this->retained.front();
    const auto found = this->entries.find(oldest.id);
    if (found != this->entries.end()) {
      found->second = ResponseDropped{};
    }
    this->retained_bytes -= oldest.bytes;
    this->retained.pop_front();
  }
}

}  // namespace kingcupstair::once
