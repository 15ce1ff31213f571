#include "components/control/config_loop.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "components/base/error.h"
#include "components/base/hash.h"
#include "components/config/chunks.h"
#include "components/config/head.h"
#include "components/fibers/worker_pool.h"
#include "components/logging/log.h"
#include "components/store/keys.h"

namespace kingcupstair::control {
namespace {

constexpr Duration kWatchTime{std::chrono::seconds(1)};
/// Waiting watches are calls too; a lost one is found out after this.
constexpr Duration kRecordsWatchTime{std::chrono::seconds(8)};
constexpr Duration kIdleTime{std::chrono::milliseconds(500)};
constexpr Duration kPauseAfterFailure{std::chrono::milliseconds(500)};
constexpr Duration kPeerTimeout{std::chrono::seconds(1)};
/// Chunks asked for in one message.
constexpr size_t kChunksPerCall = 32;

}  // namespace

ConfigLoop::ConfigLoop(Fleet& fleet) : fleet(fleet) {}

// The hosts with the highest hashes of each zone watch, so the load on the
// store depends on the number of zones and not on that of hosts. A host that
// has nothing yet asks for itself.
bool ConfigLoop::IsWatcher() const {
  if (this->fleet.config.Revision() == 0) {
    return true;
  }
  const uint64_t own = StableHash(this->fleet.places.host);
  size_t ahead = 0;
  for (const auto& update : this->fleet.directory.All()) {
    const bool counts = update.liveness == membership::Liveness::kAlive &&
                        !update.record.leaving &&
                        update.record.zone == this->fleet.places.zone;
    if (counts && StableHash(update.record.host) > own) {
      ++ahead;
    }
  }
  return ahead < this->fleet.watchers_per_zone;
}

void ConfigLoop::Step() {
  if (!this->IsWatcher()) {
    this->records.OnLost();
    fibers::SleepFor(kIdleTime);
    return;
  }
  std::visit([this](const auto& source) { this->Follow(source); },
             this->fleet.configuration_source);
}

bool ConfigLoop::NoteStoreAnswer(const absl::Status& status) {
  if (status.ok() != this->store_answered) {
    this->store_answered = status.ok();
    this->fleet.recorder.Record(
        {.kind = status.ok() ? "store_back" : "store_lost",
         .detail = MessageOf(status)});
  }
  if (status.ok()) {
    this->fleet.isolation.OnHeard(MonotonicNow());
  } else {
    fibers::SleepFor(kPauseAfterFailure);
  }
  return status.ok();
}

void ConfigLoop::Follow(const site::OperatorRecords& source) {
  const auto revision = this->records.WatchFrom();
  if (revision.has_value()) {
    this->WatchRecords(source, *revision);
  } else {
    this->ReadRecords(source);
  }
}

void ConfigLoop::ReadRecords(const site::OperatorRecords& source) {
  const auto listing =
      this->fleet.store.List(source.prefix, /*may_be_stale=*/false);
  if (this->NoteStoreAnswer(listing.status())) {
    this->records.OnListing(*listing);
    this->AdoptRecords(source);
  }
}

void ConfigLoop::WatchRecords(const site::OperatorRecords& source,
                              uint64_t revision) {
  const auto changes = this->fleet.store.WatchPrefix(
      {.prefix = source.prefix, .after = revision, .wait = kRecordsWatchTime});
  if (!this->NoteStoreAnswer(changes.status())) {
    this->records.OnLost();
    return;
  }
  if (this->records.OnChanges(*changes)) {
    this->AdoptRecords(source);
  }
}

void ConfigLoop::AdoptRecords(const site::OperatorRecords& source) {
  const auto rules = source.to_rules(this->records.All());
  if (!rules.ok()) {
    this->fleet.recorder.Record(
        {.kind = "configuration_refused", .detail = MessageOf(rules.status())});
    return;
  }
  config::Head head{.revision = this->records.known_revision(),
                    .author = "operator"};
  const auto chunks = config::SplitIntoChunks(*rules);
  for (const config::Chunk& chunk : chunks) {
    head.chunks.push_back(chunk.id);
  }
  if (!this->fleet.config.OfferHead(config::EncodeHead(head))) {
    return;
  }
  for (const config::Chunk& chunk : chunks) {
    this->fleet.config.AddChunk(chunk.id, chunk.text);
  }
  this->Adopt("store");
}

void ConfigLoop::Follow(const site::PublishedConfiguration&) {
  const auto entry =
      this->fleet.store.Watch(store::kHeadKey, this->head_version, kWatchTime);
  if (!this->NoteStoreAnswer(entry.status())) {
    return;
  }
  if (entry->version == 0) {
    fibers::SleepFor(kPauseAfterFailure);
    return;
  }
  if (entry->version != this->head_version) {
    this->FetchFromStore(entry->value);
    this->head_version = entry->version;
  }
}

void ConfigLoop::FetchFromStore(const std::string& head_text) {
  if (!this->fleet.config.OfferHead(head_text)) {
    return;
  }
  for (const std::string& id : this->fleet.config.MissingChunks()) {
    const auto chunk = this->fleet.store.Get(store::ChunkKey(id));
    if (!chunk.ok() || !this->fleet.config.AddChunk(id, chunk->value)) {
      logging::Write(logging::Level::kWarning,
                     "a chunk of the configuration could not be read",
                     {{.name = "step", .value = "read chunk"},
                      {.name = "chunk", .value = id}});
      return;
    }
  }
  this->Adopt("store");
}

bool ConfigLoop::FetchFromPeer(const std::string& peer) {
  const auto head = this->fleet.peers.Head(peer, kPeerTimeout);
  if (!head.ok() || !this->fleet.config.OfferHead(*head)) {
    return false;
  }
  const auto missing = this->fleet.config.MissingChunks();
  for (size_t start = 0; start < missing.size(); start += kChunksPerCall) {
    const size_t end = std::min(start + kChunksPerCall, missing.size());
    const std::vector<std::string> ids(
        missing.begin() + static_cast<std::ptrdiff_t>(start),
        missing.begin() + static_cast<std::ptrdiff_t>(end));
    const auto texts = this->fleet.peers.Chunks(peer, ids, kPeerTimeout);
    if (!texts.ok() || texts->size() != ids.size()) {
      return false;
    }
    for (size_t i = 0; i < ids.size(); ++i) {
      if (!this->fleet.config.AddChunk(ids[i], (*texts)[i])) {
        return false;
      }
    }
  }
  return this->Adopt(peer);
}

bool ConfigLoop::Adopt(const std::string& source) {
  const auto before = this->fleet.config.snapshot().Read();
  const Adoption adoption = this->fleet.config.TryAdopt();
  for (const config::RuleError& fault : adoption.faults) {
    this->fleet.recorder.Record(
        {.kind = "configuration_refused",
         .detail = absl::StrCat("from ", source, ": ", ToText(fault))});
  }
  if (adoption.adopted) {
    this->fleet.recorder.Record({.kind = "configuration_in_force",
                                 .detail = absl::StrCat("from ", source)});
    this->RecordOuts(*before, *this->fleet.config.snapshot().Read());
  }
  return adoption.adopted;
}

void ConfigLoop::RecordOuts(const config::Configuration& before,
                            const config::Configuration& after) {
  const auto record = [&](const char* kind, const auto& from, const auto& to,
                          bool zones) {
    for (const std::string& name : from) {
      if (!to.contains(name)) {
        this->fleet.recorder.Record({.kind = kind,
                                     .upstream = zones ? "" : name,
                                     .zone = zones ? name : ""});
      }
    }
  };
  record("zone_out", after.zones_out(), before.zones_out(), true);
  record("zone_in", before.zones_out(), after.zones_out(), true);
  record("upstream_out", after.upstreams_out(), before.upstreams_out(), false);
  record("upstream_in", before.upstreams_out(), after.upstreams_out(), false);
}

}  // namespace kingcupstair::control
