#include "components/limits/loan_sweep.h"

#include <utility>

namespace kingcupstair::limits {

LoanSweep::LoanSweep(Options options) : options(options) {}

void LoanSweep::SetHosts(const std::set<std::string>& hosts) {
  if (hosts == this->hosts) {
    return;
  }
  this->hosts = hosts;
  this->digest = DigestOfHosts(hosts);
  this->responses.clear();
  this->unconfirmed.clear();
  this->swept.clear();
  this->cleared.clear();
}

void LoanSweep::RecordResponse(const std::string& lender,
                               const LoanBlock& block) {
  if (this->hosts.contains(lender)) {
    this->responses[lender] = block;
  }
}

// Waits for a response of each host: a host that is silent would not confirm
// the sweep either.
void LoanSweep::Update(Instant now) {
  if (!this->unconfirmed.empty() &&
      now - this->began_at < this->options.longest) {
    return;
  }
  this->unconfirmed.clear();
  this->swept.clear();
  if (this->responses.size() < this->hosts.size()) {
    return;
  }
  std::map<std::string, uint64_t> blocked;
  for (const auto& [lender, block] : this->responses) {
    if (block.token != 0 && block.hosts == this->digest &&
        this->ClearanceFor(lender) == 0) {
      blocked[lender] = block.token;
    }
  }
  if (blocked.empty() ||
      blocked.size() * this->options.blocked_divisor < this->hosts.size()) {
    return;
  }
  ++this->sweep_number;
  this->began_at = now;
  this->swept = std::move(blocked);
  this->unconfirmed = this->hosts;
}

std::vector<std::string> LoanSweep::Lenders() const {
  std::vector<std::string> lenders;
  for (const auto& [lender, token] : this->swept) {
    lenders.push_back(lender);
  }
  return lenders;
}

void LoanSweep::RecordDropped(uint64_t number, const std::string& host) {
  if (number != this->sweep_number || this->unconfirmed.erase(host) == 0 ||
      !this->unconfirmed.empty()) {
    return;
  }
  for (const auto& [lender, token] : this->swept) {
    this->cleared[lender] = token;
  }
  this->swept.clear();
}

uint64_t LoanSweep::ClearanceFor(const std::string& lender) const {
  const auto token = this->cleared.find(lender);
  const auto response = this->responses.find(lender);
  return token != this->cleared.end() && response != this->responses.end() &&
                 response->second.token == token->second
             ? token->second
             : 0;
}

}  // namespace kingcupstair::limits
