#include "components/limits/share_table.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace kingcupstair::limits {
namespace {

/// Parts on their way are of use to nobody until the taker reads the table, so
/// a host gives some away only when much would go with it if it went: more than
/// this of all parts (one in so many), or than an equal share by half of it.
constexpr int64_t kMuchDivisor = 10;
constexpr int64_t kSurplusDivisor = 2;
/// A move smaller than this part of an equal share is not worth a write.
constexpr int64_t kWorthwhileDivisor = 20;

}  // namespace

const ShareEntry* ShareTable::Find(const std::string& host) const {
  const auto found = this->entries.find(host);
  return found == this->entries.end() ? nullptr : &found->second;
}

double ShareTable::Fraction(const std::string& host) const {
  const ShareEntry* entry = this->Find(host);
  return entry == nullptr ? 0 : static_cast<double>(entry->parts) / kAllParts;
}

ShareTable ShareTable::EqualShares(
    const std::map<std::string, ShareEntry>& hosts) {
  ShareTable table;
  table.entries = hosts;
  for (auto& [host, entry] : table.entries) {
    entry.parts = kAllParts / static_cast<int64_t>(hosts.size());
  }
  return table;
}

bool ShareTable::Join(const std::string& host, const ShareEntry& places) {
  const bool first = this->entries.empty();
  const auto [at, added] = this->entries.emplace(host, places);
  ShareEntry renewed = places;
  renewed.parts = added ? (first ? kAllParts : 0) : at->second.parts;
  const bool changed = added || at->second != renewed;
  at->second = renewed;
  return changed;
}

std::optional<ShareMove> ShareTable::NextMove(const std::string& host) const {
  const ShareEntry* giver = this->Find(host);
  if (giver == nullptr) {
    return std::nullopt;
  }
  const auto equal = kAllParts / static_cast<int64_t>(this->entries.size());
  const auto poorest =
      std::min_element(this->entries.begin(), this->entries.end(),
                       [](const auto& left, const auto& right) {
                         return left.second.parts < right.second.parts;
                       });
  const int64_t parts =
      std::min(giver->parts - equal, equal - poorest->second.parts);
  const bool much = giver->parts > kAllParts / kMuchDivisor ||
                    giver->parts - equal > equal / kSurplusDivisor;
  if (!much || parts <= equal / kWorthwhileDivisor) {
    return std::nullopt;
  }
  return ShareMove{.from = host, .to = poorest->first, .parts = parts};
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
  int64_t left = found->second.parts;
  this->entries.erase(found);
  auto remaining = static_cast<int64_t>(this->entries.size());
  for (auto& [name, entry] : this->entries) {
    const int64_t part = left / remaining;
    entry.parts += part;
    left -= part;
    --remaining;
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
  return nlohmann::json{{"hosts", hosts}}.dump();
}

absl::StatusOr<ShareTable> DecodeShareTable(std::string_view text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) {
    return absl::DataLossError("the share table is no JSON object");
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
  if (total > kAllParts) {
    return absl::DataLossError("the share table gives out more than the whole");
  }
  return table;
}

}  // namespace kingcupstair::limits
