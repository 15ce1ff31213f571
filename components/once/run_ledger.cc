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

bool RunLedger::BeginForward(const std::string& id) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end() ||
      !std::holds_alternative<Accepted>(found->second)) {
    return false;
  }
  found->second = Forwarded{};
  return true;
}

// A request that ended without being run is kept as a fence, not as an
// outcome, so that a copy of it is refused for the same reason.
void RunLedger::Finish(const std::string& id,
                       const Outcome& outcome,
                       Instant now) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end() ||
      std::holds_alternative<Fence>(found->second)) {
    return;
  }
  if (std::holds_alternative<NotRun>(outcome)) {
    found->second = Fence{};
    this->NoteEnded(id, this->fenced, now);
    return;
  }
  found->second = Finished{.outcome = outcome};
  this->NoteEnded(id, this->finished, now);
  if (this->finished.size() > this->options.max_finished) {
    this->DropOldest(this->finished);
  }
}

Resolution RunLedger::Resolve(const std::string& id, Instant now) {
  const auto [at, added] = this->entries.emplace(id, Fence{});
  if (added || std::holds_alternative<Accepted>(at->second)) {
    at->second = Fence{};
    this->NoteEnded(id, this->fenced, now);
  }
  return *this->Peek(id);
}

std::optional<Resolution> RunLedger::Peek(const std::string& id) const {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) {
    return std::nullopt;
  }
  if (const auto* ended = std::get_if<Finished>(&found->second)) {
    return ended->outcome;
  }
  if (std::holds_alternative<Fence>(found->second)) {
    return Outcome{NotRun{.reason = RefusalReason::kFenced}};
  }
  return StillRunning{};
}

void RunLedger::Expire(Instant now) {
  const auto expire = [&](std::deque<Ended>& list) {
    while (!list.empty() && list.front().at + this->options.retention <= now) {
      this->DropOldest(list);
    }
  };
  expire(this->finished);
  expire(this->fenced);
}

void RunLedger::NoteEnded(const std::string& id,
                          std::deque<Ended>& list,
                          Instant now) {
  list.push_back({.id = id, .at = now});
}

void RunLedger::DropOldest(std::deque<Ended>& list) {
  this->entries.erase(list.front().id);
  list.pop_front();
}

}  // namespace kingcupstair::once
