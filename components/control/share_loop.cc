#include "components/control/share_loop.h"

#include <algorithm>
#include <map>

#include "absl/strings/str_cat.h"
#include "components/control/loan_loop.h"
#include "components/fibers/worker_pool.h"
#include "components/store/keys.h"

namespace kingcupstair::control {
namespace {

constexpr Duration kShortestPause{std::chrono::milliseconds(1000)};
/// Hosts that start together meet conflicts, so they come back at random; a
/// round takes two calls of some milliseconds.
constexpr Duration kLeastJoinPause{std::chrono::milliseconds(10)};
constexpr Duration kConflictPause{std::chrono::milliseconds(150)};
/// Between the hosts that may create the table, one after the other.
constexpr Duration kCreationStagger{std::chrono::milliseconds(150)};
constexpr Duration kPausePerHost{std::chrono::milliseconds(1000)};
constexpr Duration kPollWhileLent{std::chrono::milliseconds(50)};

}  // namespace

ShareLoop::ShareLoop(Fleet& fleet) : fleet(fleet), start(MonotonicNow()) {}

// All hosts together make a fixed number of calls a second, however many they
// are.
void ShareLoop::Step() {
  if (this->saw_no_table && !this->joined &&
      MonotonicNow() - this->start < this->CreationDelay()) {
    fibers::SleepFor(kCreationStagger);
    return;
  }
  if (!this->joined) {
    this->Join();
  } else {
    this->Follow();
  }
  const auto hosts = static_cast<int64_t>(this->fleet.directory.size());
  if (this->joined) {
    fibers::SleepFor(std::max(kShortestPause, kPausePerHost * hosts));
    return;
  }
  const Duration longest = this->met_conflict ? kConflictPause : kShortestPause;
  std::uniform_int_distribution<int64_t> jitter(kLeastJoinPause.count(),
                                                longest.count());
  fibers::SleepFor(Duration(jitter(this->random)));
}

absl::StatusOr<ShareLoop::StoredTable> ShareLoop::Read() const {
  const auto entry = this->fleet.store.Get(store::kSharesKey);
  if (!entry.ok()) {
    return entry.status();
  }
  if (entry->version == 0) {
    return StoredTable{};
  }
  const auto table = limits::DecodeShareTable(entry->value);
  if (!table.ok()) {
    return table.status();
  }
  return StoredTable{.table = *table, .version = entry->version};
}

bool ShareLoop::Write(const limits::ShareTable& table, uint64_t version) const {
  const auto put = this->fleet.store.Put(
      store::kSharesKey, limits::EncodeShareTable(table), version);
  return put.ok() && *put == store::PutResult::kWritten;
}

// The table is written even when nothing in it changes: a write of a former
// life of this process that is still on its way then meets another version and
// fails.
void ShareLoop::Join() {
  this->met_conflict = false;
  auto stored = this->Read();
  if (!stored.ok()) {
    return;
  }
  if (stored->version == 0 && this->fleet.share_gathering_time > Duration{}) {
    this->saw_no_table = true;
    this->CreateTable();
    return;
  }
  const Places& places = this->fleet.places;
  if (this->saw_no_table && stored->table.Find(places.host) != nullptr) {
    this->joined = true;
    this->fleet.rates.SetShare(stored->table.Fraction(places.host));
    return;
  }
  const bool had_former_life = stored->table.Find(places.host) != nullptr;
  stored->table.Join(
      places.host,
      {.zone = places.zone, .region = places.region, .admin = places.admin});
  if (!this->Write(stored->table, stored->version)) {
    this->met_conflict = true;
    return;
  }
  this->joined = true;
  this->unsettled = false;
  if (had_former_life) {
    this->fleet.rates.HoldBackUntil(this->start +
                                    LoanLife(stored->table.hosts().size()));
  }
  this->fleet.rates.SetShare(stored->table.Fraction(places.host));
}

// While there is no table nobody holds a share, so whoever writes it first may
// give them to all hosts at once.
void ShareLoop::CreateTable() {
  if (MonotonicNow() - this->start < this->CreationDelay()) {
    return;
  }
  std::map<std::string, limits::ShareEntry> hosts;
  for (const auto& record : this->fleet.directory.Present()) {
    hosts[record.host] = {
        .zone = record.zone, .region = record.region, .admin = record.admin};
  }
  const auto table = limits::ShareTable::EqualShares(hosts);
  if (this->Write(table, 0)) {
    this->joined = true;
    this->fleet.rates.SetShare(table.Fraction(this->fleet.places.host));
    this->fleet.recorder.Record(
        {.kind = "shares_created",
         .detail = absl::StrCat(hosts.size(), " hosts")});
  }
}

Duration ShareLoop::CreationDelay() const {
  const auto present = this->fleet.directory.Present();
  const auto before =
      std::count_if(present.begin(), present.end(), [this](const auto& record) {
        return record.host < this->fleet.places.host;
      });
  return this->fleet.share_gathering_time + kCreationStagger * before;
}

void ShareLoop::Follow() {
  const auto stored = this->Read();
  if (!stored.ok()) {
    return;
  }
  const Places& places = this->fleet.places;
  if (stored->table.Find(places.host) == nullptr) {
    this->fleet.rates.SetShare(0);
    this->joined = false;
    return;
  }
  if (this->unsettled) {
    if (!this->Write(stored->table, stored->version)) {
      return;
    }
    this->unsettled = false;
  }
  this->fleet.rates.SetShare(stored->table.Fraction(places.host));
  const auto move = stored->table.NextMove(places.host);
  if (move.has_value()) {
    this->HandOver(*stored, *move);
  }
}

// The share is lowered, and loans of the higher share have run out, before the
// taker can learn of its gain from the table.
void ShareLoop::HandOver(const StoredTable& stored,
                         const limits::ShareMove& move) {
  limits::ShareTable table = stored.table;
  if (!table.Apply(move)) {
    return;
  }
  const double lowered = table.Fraction(move.from);
  this->fleet.rates.SetShare(lowered);
  while (this->fleet.rates.FreeOfOldLoans(lowered) > MonotonicNow()) {
    fibers::SleepFor(kPollWhileLent);
  }
  this->unsettled = true;
  if (!this->Write(table, stored.version)) {
    return;
  }
  this->unsettled = false;
  this->fleet.recorder.Record(
      {.kind = "share_moved",
       .detail = absl::StrCat(move.parts, " parts to ", move.to)});
}

}  // namespace kingcupstair::control
