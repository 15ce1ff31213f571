#include "components/limits/share_table.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "components/base/json_text.h"

namespace kingcupstair::limits {
namespace {

// Parts in transfer can't be spent until the receiving host reads the table. A
// host therefore moves parts only if the loss of this host would take a large
// share out of use: more than one in kLargeShareDivisor of all parts, or a
// surplus over an equal share of more than one in kSurplusDivisor of that
// share.
constexpr int64_t kLargeShareDivisor = 10;
constexpr int64_t kSurplusDivisor = 2;
// A move of no more than one in kMinMoveDivisor of an equal share does not
// justify a write to the store.
constexpr int64_t kMinMoveDivisor = 20;

}  // namespace

const ShareEntry* ShareTable::Find(const std::string& host) const {
  const auto found = this->entries.find(host);
  return found == this->entries.end() ? nullptr : &found->second;
}

double ShareTable::Fraction(const std::string& host) const {
  const ShareEntry* entry = this->Find(host);
  return entry == nullptr ? 0 : static_cast<double>(entry->parts) / kTotalParts;
}

ShareTable ShareTable::EqualShares(
    const std::map<std::string, ShareEntry>& hosts) {
  ShareTable table;
  table.entries = hosts;
  for (auto& [host, entry] : table.entries) {
    entry.parts = kTotalParts / static_cast<int64_t>(hosts.size());
  }
  return table;
}

bool ShareTable::AddOrUpdateHost(const std::string& host,
                                 const ShareEntry& entry) {
  const bool is_first = this->entries.empty();
  const auto [at, added] = this->entries.emplace(host, entry);
  ShareEntry updated = entry;
  updated.parts = added ? (is_first ? kTotalParts : 0) : at->second.parts;
  const bool changed = added || at->second != updated;
  at->second = updated;
  return changed;
}

std::optional<ShareMove> ShareTable::NextMove(const std::string& host) const {
  const ShareEntry* current = this->Find(host);
  if (current == nullptr) {
    return std::nullopt;
  }
  const auto equal_parts =
      kTotalParts / static_cast<int64_t>(this->entries.size());
  const auto smallest =
      std::min_element(this->entries.begin(), this->entries.end(),
                       [](const auto& left, const auto& right) {
                         return left.second.parts < right.second.parts;
                       });
  const int64_t parts = std::min(current->parts - equal_parts,
                                 equal_parts - smallest->second.parts);
  const bool holds_large_share =
      current->parts > kTotalParts / kLargeShareDivisor ||
      current->parts - equal_parts > equal_parts / kSurplusDivisor;
  if (!holds_large_share || parts <= equal_parts / kMinMoveDivisor) {
    return std::nullopt;
  }
  return ShareMove{.from = host, .to = smallest->first, .parts = parts};
}

bool ShareTable::Apply(const ShareMove& move) {
  const auto from = this->entries.find(move.from);
  const auto to = this->entries.find(move.to);
  if (from == this->entries.end() || to == this->entries.end() ||
      move.parts <= 0 || from->second.parts < move.parts) {
    return false;
  }
  from->second.parts -= move.parts;
  to->second.parts += move.parts;
  return true;
}

bool ShareTable::Remove(const std::string& host) {
  const auto found = this->entries.find(host);
  if (found == this->entries.end() || this->entries.size() == 1) {
    return false;
  }
  int64_t undistributed = found->second.parts;
  this->entries.erase(found);
  auto remaining_hosts = static_cast<int64_t>(this->entries.size());
  for (auto& [name, entry] : this->entries) {
    const int64_t increment = undistributed / remaining_hosts;
    entry.parts += increment;
    undistributed -= increment;
    --remaining_hosts;
  }
  return true;
}

std::string EncodeShareTable(const ShareTable& table) {
  nlohmann::json hosts = nlohmann::json::object();
  for (const auto& [host, entry] : table.hosts()) {
    hosts[host] = {{"parts", entry.parts},
                   {"zone", entry.zone},
                   {"region", entry.region},
                   {"admin", entry.admin}};
  }
  return JsonText({{"hosts", hosts}});
}

absl::StatusOr<ShareTable> DecodeShareTable(std::string_view text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) {
    return absl::DataLossError("the share table is not a JSON object");
  }
  ShareTable table;
  int64_t total = 0;
  try {
    for (const auto& [host, entry] : json.at("hosts").items()) {
      const auto parts = entry.at("parts").get<int64_t>();
      table.entries[host] = {.parts = parts,
                             .zone = entry.at("zone").get<std::string>(),
                             .region = entry.at("region").get<std::string>(),
                             .admin = entry.at("admin").get<std::string>()};
      total += parts;
    }
  } catch (const nlohmann::json::exception& error) {
    return absl::DataLossError(error.what());
  }
  if (total > kTotalParts) {
    return absl::DataLossError(
        "the shares in the share table add up to more than the whole");
  }
  return table;
}

}  // namespace kingcupstair::limits
