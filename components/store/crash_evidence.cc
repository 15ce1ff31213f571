#include "components/store/crash_evidence.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include <nlohmann/json.hpp>

#include "components/base/json_text.h"
#include "components/store/keys.h"

namespace kingcupstair::store {
namespace {

using Pieces = std::vector<once::AgedEvidence>;

constexpr char kCrashes[] = "crashes";
constexpr char kClearances[] = "clearances";
constexpr char kFingerprint[] = "fingerprint";
constexpr char kUpstream[] = "upstream";
constexpr char kAtMillis[] = "at_ms";
/// Time in the future up to which a crash counts as one that has just happened.
/// Without a bound, the evidence of a host whose clock was years ahead would be
/// renewed at each start.
constexpr int64_t kMaxMillisAhead = int64_t{10} * 60 * 1000;

nlohmann::json EncodePieces(const Pieces& pieces, int64_t wall_clock_ms) {
  nlohmann::json json = nlohmann::json::array();
  for (const once::AgedEvidence& piece : pieces) {
    json.push_back({{kFingerprint, piece.evidence.fingerprint},
                    {kUpstream, piece.evidence.upstream},
                    {kAtMillis, wall_clock_ms - ToMillisRoundedUp(piece.age)}});
  }
  return json;
}

bool DecodePieces(const nlohmann::json& json,
                  const char* list,
                  int64_t wall_clock_ms,
                  Pieces& pieces) {
  const auto found = json.find(list);
  if (found == json.end() || !found->is_array()) {
    return false;
  }
  for (const nlohmann::json& piece : *found) {
    const auto has = [&](const char* name) {
      return piece.is_object() && piece.contains(name);
    };
    if (!has(kFingerprint) || !piece[kFingerprint].is_number_unsigned() ||
        !has(kUpstream) || !piece[kUpstream].is_string() || !has(kAtMillis) ||
        !piece[kAtMillis].is_number_integer()) {
      return false;
    }
    const auto at_ms = piece[kAtMillis].get<int64_t>();
    if (at_ms < 0 || at_ms > wall_clock_ms + kMaxMillisAhead) {
      continue;
    }
    pieces.push_back(
        {.evidence = {.fingerprint = piece[kFingerprint].get<uint64_t>(),
                      .upstream = piece[kUpstream].get<std::string>()},
         .age = std::chrono::milliseconds(
             std::max<int64_t>(wall_clock_ms - at_ms, 0))});
  }
  return true;
}

}  // namespace

std::string EncodeEvidence(const once::EvidenceContent& content,
                           int64_t wall_clock_ms) {
  return JsonText(
      {{kCrashes, EncodePieces(content.crashes, wall_clock_ms)},
       {kClearances, EncodePieces(content.clearances, wall_clock_ms)}});
}

StoredEvidence DecodeEvidence(const Entry& entry, int64_t wall_clock_ms) {
  StoredEvidence stored{.version = entry.version};
  if (entry.version == 0) {
    return stored;
  }
  const auto json = nlohmann::json::parse(entry.value, nullptr,
                                          /*allow_exceptions=*/false);
  once::EvidenceContent content;
  stored.is_readable =
      json.is_object() &&
      DecodePieces(json, kCrashes, wall_clock_ms, content.crashes) &&
      DecodePieces(json, kClearances, wall_clock_ms, content.clearances);
  if (stored.is_readable) {
    stored.content = std::move(content);
  }
  return stored;
}

// A connection that was kept from an earlier call may have gone silent, and
// callers wait for the write.
absl::StatusOr<StoredEvidence> ReadCrashEvidence(const Client& client) {
  const auto entry = client.Get(kCrashEvidenceKey, {.reuse_connection = false});
  if (!entry.ok()) {
    return entry.status();
  }
  return DecodeEvidence(*entry, WallClockMillis());
}

absl::StatusOr<PutResult> WriteCrashEvidence(
    const Client& client,
    const once::EvidenceContent& content,
    const StoredEvidence& base) {
  return client.Put(kCrashEvidenceKey,
                    EncodeEvidence(content, WallClockMillis()), base.version);
}

}  // namespace kingcupstair::store
