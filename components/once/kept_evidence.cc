#include "components/once/kept_evidence.h"

#include <algorithm>
#include <set>

namespace kingcupstair::once {
namespace {

std::set<CrashEvidence> NamesOf(const std::vector<AgedEvidence>& pieces) {
  std::set<CrashEvidence> names;
  for (const AgedEvidence& piece : pieces) {
    names.insert(piece.evidence);
  }
  return names;
}

bool HasAll(const std::vector<AgedEvidence>& pieces,
            const std::vector<AgedEvidence>& wanted) {
  const std::set<CrashEvidence> names = NamesOf(pieces);
  return std::all_of(wanted.begin(), wanted.end(), [&](const auto& piece) {
    return names.contains(piece.evidence);
  });
}

}  // namespace

// Each crash makes suspects of all requests that the upstream was running, so
// many crashes could displace the evidence against the request that caused
// them. That request alone has evidence of several crashes.
EvidenceContent SelectEvidence(const CrashLedger& ledger,
                               Instant now,
                               size_t max_pieces) {
  EvidenceContent content{.crashes = ledger.Current(now),
                          .clearances = ledger.Clearances(now)};
  if (content.crashes.size() > max_pieces) {
    std::stable_partition(content.crashes.begin(), content.crashes.end(),
                          [&](const AgedEvidence& piece) {
                            return ledger.RefusedFor(piece.evidence.fingerprint,
                                                     now) > Duration{};
                          });
    content.crashes.resize(max_pieces);
  }
  if (content.clearances.size() > max_pieces) {
    content.clearances.resize(max_pieces);
  }
  return content;
}

bool HasAllOf(const EvidenceContent& content, const EvidenceContent& wanted) {
  return HasAll(content.crashes, wanted.crashes) &&
         HasAll(content.clearances, wanted.clearances);
}

void KeptEvidence::OnNews(Fingerprint fingerprint, Instant now) {
  this->news[fingerprint] = {.number = ++this->latest, .at = now};
}

bool KeptEvidence::IsKept(Fingerprint fingerprint) const {
  const auto found = this->news.find(fingerprint);
  return found == this->news.end() || found->second.number <= this->kept;
}

bool KeptEvidence::IsWriteDue() const {
  return std::any_of(
      this->news.begin(), this->news.end(),
      [this](const auto& entry) { return entry.second.number > this->kept; });
}

void KeptEvidence::OnKept(uint64_t news) {
  this->kept = std::max(this->kept, news);
}

void KeptEvidence::Expire(Instant now) {
  std::erase_if(this->news, [&](const auto& entry) {
    return entry.second.at + this->lifetime <= now;
  });
}

bool EvidenceWait::IsOver(Instant now) {
  if (!this->begun.has_value()) {
    this->begun = now;
  }
  return this->learned || now - *this->begun >= this->max_wait;
}

}  // namespace kingcupstair::once
