#include "components/control/config_loop.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "components/base/error.h"
#include "components/base/hash.h"
#include "components/config/chunks.h"
#include "components/config/head.h"
#include "components/config/revision.h"
#include "components/config/valid_rules.h"
#include "components/fibers/boundary.h"
#include "components/fibers/worker_pool.h"
#include "components/logging/log.h"
#include "components/store/keys.h"

namespace kingcupstair::control {
namespace {

/// Bounds of the time for which a watch waits. Each watch is a call to the
/// store. The longest is also the longest that the store allows.
constexpr Duration kMinWatchTime{std::chrono::seconds(24)};
constexpr Duration kMaxWatchTime{std::chrono::seconds(30)};
constexpr Duration kFirstRetryDelay{std::chrono::milliseconds(100)};
constexpr Duration kMaxRetryDelay{std::chrono::seconds(2)};
/// Time within which a watch brings a change that a peer has.
constexpr Duration kMaxWatchLag{std::chrono::milliseconds(500)};
/// Delay before the store is read again while no configuration is published.
constexpr Duration kUnpublishedInterval{std::chrono::milliseconds(500)};
constexpr Duration kPeerTimeout{std::chrono::seconds(1)};
/// Chunks that one call asks a peer for. With chunks of 25 KB, they take a link
/// of 10 Mbit/s a fifth of the timeout.
constexpr size_t kMaxChunksPerCall = 8;
/// Name of the store as the source of a configuration.
constexpr char kStoreSource[] = "store";
constexpr Duration kSecondSpreadDelay{std::chrono::milliseconds(400)};

}  // namespace

namespace {

store::ContentVersion ContentVersionOf(
    const site::ConfigurationSource& source) {
  const auto* records = std::get_if<site::OperatorRecords>(&source);
  return records != nullptr ? records->content_version
                            : store::ContentVersion();
}

size_t BytesOf(const std::vector<store::KeyedEntry>& entries) {
  size_t bytes = 0;
  for (const store::KeyedEntry& entry : entries) {
    bytes += entry.entry.value.size();
  }
  return bytes;
}

/// Returns how a configuration was read, for operators.
std::string DescribeRead(size_t bytes, Instant start) {
  return absl::StrCat(bytes, " bytes read in ",
                      ToMillisRoundedUp(MonotonicNow() - start), " ms");
}

}  // namespace

ConfigLoop::ConfigLoop(Fleet& fleet)
    : fleet(fleet),
      backoff({.first = kFirstRetryDelay, .longest = kMaxRetryDelay}),
      records(
          {.content_version = ContentVersionOf(fleet.configuration_source)}) {}

// Random times keep the watches of all hosts from ending together.
Duration ConfigLoop::WatchTime() {
  std::uniform_int_distribution<int64_t> time(kMinWatchTime.count(),
                                              kMaxWatchTime.count());
  return Duration(time(this->random));
}

CancellationPtr ConfigLoop::BeginWatch() {
  auto cancellation = std::make_shared<Cancellation>();
  const std::lock_guard lock(this->mutex);
  this->watch = cancellation;
  this->watch_era = this->fleet.store.era();
  return cancellation;
}

void ConfigLoop::CheckWatch() {
  const Instant now = MonotonicNow();
  CancellationPtr ended;
  Duration lag{};
  bool lags = false;
  {
    const std::lock_guard lock(this->mutex);
    lag = now - this->behind_since.value_or(now);
    lags = lag > kMaxWatchLag;
    if (lags || this->fleet.store.era() != this->watch_era) {
      ended = std::exchange(this->watch, nullptr);
    }
  }
  if (ended != nullptr) {
    this->fleet.recorder.Record(
        {.kind = "watch_ended",
         .detail = lags ? absl::StrCat("a peer has had a change for ",
                                       ToMillisRoundedUp(lag), " ms")
                        : "the store was restored"});
    ended->Cancel();
  }
}

void ConfigLoop::NoticeEra() {
  const uint64_t known = std::exchange(this->era, this->fleet.store.era());
  if (known > 0 && known != this->era) {
    this->fleet.recorder.Record(
        {.kind = "store_restored",
         .detail = absl::StrCat("from an older copy, era ", known, " to ",
                                this->era)});
  }
}

void ConfigLoop::Step() {
  this->NoticeEra();
  std::visit([this](const auto& source) { this->WatchSource(source); },
             this->fleet.configuration_source);
}

bool ConfigLoop::RecordStoreStatus(const absl::Status& status) {
  if (status.ok() != this->store_reachable) {
    this->store_reachable = status.ok();
    this->fleet.recorder.Record(
        {.kind = status.ok() ? "store_back" : "store_lost",
         .detail = MessageOf(status)});
  }
  if (status.ok()) {
    this->fleet.isolation.RecordContact(MonotonicNow());
    this->backoff.Reset();
    const std::lock_guard lock(this->mutex);
    this->behind_since.reset();
  } else {
    fibers::SleepFor(this->backoff.NextDelay());
  }
  return status.ok();
}

void ConfigLoop::LogFailedRead(const std::string& source,
                               Instant start,
                               const absl::Status& status) {
  logging::Write(
      logging::Level::kWarning, "the configuration could not be read",
      {{.name = "source", .value = source},
       {.name = "after_ms",
        .value = absl::StrCat(ToMillisRoundedUp(MonotonicNow() - start))},
       {.name = "error", .value = MessageOf(status)}});
}

void ConfigLoop::WatchSource(const site::OperatorRecords& source) {
  if (this->records.DropFormerRecords(MonotonicNow())) {
    this->AdoptRecords(source, "records of a former era dropped");
  }
  const auto revision = this->records.WatchFrom();
  if (revision.has_value()) {
    this->WatchRecords(source, *revision);
  } else {
    this->ReadRecords(source);
  }
}

void ConfigLoop::ReadRecords(const site::OperatorRecords& source) {
  const Instant start = MonotonicNow();
  const auto listing =
      this->fleet.store.List(source.prefix, /*may_be_stale=*/false);
  if (!listing.ok()) {
    this->LogFailedRead(kStoreSource, start, listing.status());
  }
  if (this->RecordStoreStatus(listing.status())) {
    this->records.OnListing(*listing, MonotonicNow());
    this->AdoptRecords(source, DescribeRead(BytesOf(listing->entries), start));
  }
}

void ConfigLoop::WatchRecords(const site::OperatorRecords& source,
                              uint64_t revision) {
  const CancellationPtr cancellation = this->BeginWatch();
  const auto changes = this->fleet.store.WatchPrefix(
      {.prefix = source.prefix,
       .after = revision,
       .wait = this->records.WatchTime(this->WatchTime(), MonotonicNow()),
       .cancellation = cancellation});
  if (!changes.ok() && cancellation->IsCancelled()) {
    this->records.Invalidate();
    return;
  }
  if (!this->RecordStoreStatus(changes.status())) {
    this->records.Invalidate();
    return;
  }
  if (this->records.OnChanges(*changes)) {
    this->AdoptRecords(
        source, absl::StrCat(BytesOf(changes->entries), " bytes from a watch"));
  }
}

void ConfigLoop::AdoptRecords(const site::OperatorRecords& source,
                              const std::string& read) {
  const Instant start = MonotonicNow();
  const auto in_force = this->records.All();
  const config::Head head{
      .revision =
          config::Pack({.content_version = source.content_version(in_force),
                        .era = this->records.era(),
                        .number = this->records.content_revision()}),
      .author = "operator"};
  if (head.revision <= this->fleet.config.Revision()) {
    return;
  }
  const auto rules = source.to_rules(in_force);
  if (!rules.ok()) {
    this->fleet.recorder.Record(
        {.kind = "configuration_refused", .detail = MessageOf(rules.status())});
    return;
  }
  this->RecordAdjustments(rules->adjustments);
  const std::string translated =
      absl::StrCat(read, ", translated in ",
                   ToMillisRoundedUp(MonotonicNow() - start), " ms");
  if (this->AdoptText(head, rules->text, translated)) {
    return;
  }
  const config::ValidRules valid = config::KeepValidRules(rules->text);
  if (valid.left_out.empty()) {
    return;
  }
  std::vector<std::string> left_out;
  for (const config::RuleError& error : valid.left_out) {
    left_out.push_back(
        absl::StrCat("a rule is left out, ", config::ToText(error)));
  }
  this->RecordAdjustments(left_out);
  this->AdoptText(head, valid.text, translated);
}

bool ConfigLoop::AdoptText(config::Head head,
                           const std::string& text,
                           const std::string& read) {
  const auto chunks = config::SplitIntoChunks(text);
  for (const config::Chunk& chunk : chunks) {
    head.chunks.push_back(chunk.id);
  }
  auto reception = this->fleet.config.Receive(config::EncodeHead(head));
  if (!reception.has_value()) {
    return false;
  }
  for (const config::Chunk& chunk : chunks) {
    reception->AddChunk(chunk.id, chunk.text);
  }
  return this->Adopt(*reception, kStoreSource, read);
}

// The operators have a confirmation for all of the version. What can't be used
// as it stands must not keep the rest of it out of force.
void ConfigLoop::RecordAdjustments(
    const std::vector<std::string>& adjustments) {
  for (const std::string& detail : adjustments) {
    this->fleet.recorder.Record(
        {.kind = "configuration_adjusted", .detail = detail});
  }
}

void ConfigLoop::WatchSource(const site::PublishedConfiguration&) {
  const CancellationPtr cancellation =
      this->head_up_to_date ? this->BeginWatch() : nullptr;
  const auto entry =
      cancellation != nullptr
          ? this->fleet.store.Watch(store::kHeadKey, this->head_version,
                                    this->WatchTime(), cancellation)
          : this->fleet.store.Get(store::kHeadKey);
  this->head_up_to_date = false;
  const bool ended =
      !entry.ok() && cancellation != nullptr && cancellation->IsCancelled();
  if (ended || !this->RecordStoreStatus(entry.status())) {
    return;
  }
  this->head_up_to_date = true;
  if (entry->version == 0) {
    fibers::SleepFor(kUnpublishedInterval);
    return;
  }
  if (entry->version != this->head_version) {
    this->FetchFromStore(entry->value);
    this->head_version = entry->version;
  }
}

void ConfigLoop::FetchFromStore(const std::string& head_text) {
  auto reception = this->fleet.config.Receive(head_text);
  if (!reception.has_value()) {
    return;
  }
  const Instant start = MonotonicNow();
  size_t bytes = 0;
  for (const std::string& id : reception->MissingChunks()) {
    const auto chunk = this->fleet.store.Get(store::ChunkKey(id));
    if (!chunk.ok() || !reception->AddChunk(id, chunk->value)) {
      logging::Write(logging::Level::kWarning,
                     "a chunk of the configuration could not be read",
                     {{.name = "step", .value = "read chunk"},
                      {.name = "chunk", .value = id}});
      return;
    }
    bytes += chunk->value.size();
  }
  this->Adopt(*reception, kStoreSource, DescribeRead(bytes, start));
}

absl::StatusOr<size_t> ConfigLoop::FetchChunks(const std::string& peer,
                                               config::Reception& reception) {
  size_t bytes = 0;
  const auto missing = reception.MissingChunks();
  for (size_t first = 0; first < missing.size(); first += kMaxChunksPerCall) {
    const size_t end = std::min(first + kMaxChunksPerCall, missing.size());
    const std::vector<std::string> ids(
        missing.begin() + static_cast<std::ptrdiff_t>(first),
        missing.begin() + static_cast<std::ptrdiff_t>(end));
    const auto texts = this->fleet.peers.Chunks(peer, ids, kPeerTimeout);
    if (!texts.ok()) {
      return texts.status();
    }
    for (size_t i = 0; i < ids.size(); ++i) {
      if (i >= texts->size() || !reception.AddChunk(ids[i], (*texts)[i])) {
        return absl::NotFoundError(
            absl::StrCat(peer, " lacks the chunk ", ids[i]));
      }
      bytes += (*texts)[i].size();
    }
  }
  return bytes;
}

bool ConfigLoop::FetchFromPeer(const std::string& peer) {
  const Instant start = MonotonicNow();
  const auto head = this->fleet.peers.Head(peer, kPeerTimeout);
  if (!head.ok()) {
    this->LogFailedRead(peer, start, head.status());
    return false;
  }
  auto reception = this->fleet.config.Receive(*head);
  if (!reception.has_value()) {
    return false;
  }
  const auto bytes = this->FetchChunks(peer, *reception);
  if (!bytes.ok()) {
    this->fleet.config.Keep(*reception);
    this->LogFailedRead(peer, start, bytes.status());
    return false;
  }
  if (!this->Adopt(*reception, peer, DescribeRead(*bytes, start))) {
    return false;
  }
  const std::lock_guard lock(this->mutex);
  if (!this->behind_since.has_value()) {
    this->behind_since = MonotonicNow();
  }
  return true;
}

// A peer that needs to be told may be missed the first time, if the one before
// it is silent. A host that had the change from the store needs no second
// round: then the store serves changes to most others too.
void ConfigLoop::SpreadAgainLater() {
  fibers::Launch("spread the configuration again", [this] {
    fibers::SleepFor(kSecondSpreadDelay);
    this->fleet.spread_updates();
  });
}

bool ConfigLoop::Adopt(const config::Reception& received,
                       const std::string& source,
                       const std::string& read) {
  const Instant start = MonotonicNow();
  const auto before = this->fleet.config.snapshot().Read();
  const Adoption adoption = this->fleet.config.Adopt(received);
  for (const config::RuleError& error : adoption.errors) {
    this->fleet.recorder.Record(
        {.kind = "configuration_refused",
         .detail = absl::StrCat("from ", source, ": ", ToText(error))});
  }
  if (adoption.changed) {
    this->fleet.recorder.Record(
        {.kind = "configuration_in_force",
         .detail =
             absl::StrCat("from ", source, ", ", read, ", adopted in ",
                          ToMillisRoundedUp(MonotonicNow() - start), " ms")});
    this->fleet.spread_updates();
    if (source != kStoreSource) {
      this->SpreadAgainLater();
    }
    this->RecordServiceChanges(*before, *this->fleet.config.snapshot().Read());
  }
  return adoption.changed;
}

void ConfigLoop::RecordServiceChanges(const config::Configuration& before,
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
  record("zone_out", after.zones_out_of_service(),
         before.zones_out_of_service(), true);
  record("zone_in", before.zones_out_of_service(), after.zones_out_of_service(),
         true);
  record("upstream_out", after.upstreams_out_of_service(),
         before.upstreams_out_of_service(), false);
  record("upstream_in", before.upstreams_out_of_service(),
         after.upstreams_out_of_service(), false);
}

}  // namespace kingcupstair::control
