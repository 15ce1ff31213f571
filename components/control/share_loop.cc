#include "components/control/share_loop.h"

#include <algorithm>
#include <map>
#include <utility>

#include "absl/strings/str_cat.h"
#include "components/control/loan_loop.h"
#include "components/fibers/worker_pool.h"

namespace kingcupstair::control {
namespace {

constexpr Duration kMinInterval{std::chrono::milliseconds(1000)};
/// Hosts that join for the first time together cause version conflicts for each
/// other, so they retry after a random delay. A round takes two calls of some
/// milliseconds.
constexpr Duration kMinJoinDelay{std::chrono::milliseconds(10)};
constexpr Duration kMaxConflictDelay{std::chrono::milliseconds(150)};
constexpr Duration kIntervalPerHost{std::chrono::milliseconds(1000)};
constexpr Duration kLoanExpiryPollInterval{std::chrono::milliseconds(50)};
/// The era of a store that has never been restored.
constexpr uint64_t kEraWithoutRestore = 1;
/// Greatest age of a copy from which the store is restored.
constexpr Duration kMaxCopyAge{std::chrono::seconds(60)};

}  // namespace

ShareLoop::ShareLoop(Fleet& fleet)
    : fleet(fleet),
      start(MonotonicNow()),
      history({.span = kMaxCopyAge}),
      read_position(
          std::uniform_real_distribution<double>(0, 1)(this->random)) {}

// Each host's share is at most its entry in the table at any time. A restore
// takes the table back, so each host lowers its share to its entry in the
// restored table. Once all have done so, that table is valid again, and the
// first host that finds the restore settled writes it as the table of the new
// era. Writes of the former era that are still on their way don't change that
// one. A host whose own write may still be on its way falls back to the least
// share that it held since any possible copy was made.
void ShareLoop::NoticeEra() {
  const uint64_t known = std::exchange(this->era, this->fleet.store.era());
  if (known == this->era || (known == 0 && this->joined)) {
    return;
  }
  const Instant now = MonotonicNow();
  this->settlement.Begin(now, LoanLifetime(this->fleet.directory.size()));
  this->transfer_unconfirmed = false;
  const bool former_process_wrote =
      this->had_entry && now - this->start < kMaxCopyAge;
  const bool write_was_lost = this->lost_write_at.has_value() &&
                              now - *this->lost_write_at < kMaxCopyAge;
  if (this->joined && (former_process_wrote || write_was_lost)) {
    this->FallBack("a write of this host may be on its way");
  }
}

void ShareLoop::FallBack(const std::string& reason) {
  const double share = this->fleet.rates.Share();
  const double least = this->history.Least(MonotonicNow());
  if (least < share) {
    this->ApplyShare(least);
    this->fleet.recorder.Record(
        {.kind = "share_lowered",
         .detail = absl::StrCat("from ", share, " to ", least, ": ", reason)});
  }
}

void ShareLoop::ApplyShare(double share) {
  this->history.Record(share, MonotonicNow());
  this->fleet.rates.SetShare(share);
}

// The interval grows with the number of hosts, so that all hosts together make
// a fixed number of calls per second.
void ShareLoop::Step() {
  this->NoticeEra();
  if (this->table_was_absent && !this->joined &&
      MonotonicNow() - this->start < this->NextReadDelay()) {
    fibers::SleepFor(limits::TableCreation::kStagger);
    return;
  }
  if (!this->joined) {
    this->Join();
  } else {
    this->FollowTable();
  }
  const auto hosts = static_cast<int64_t>(this->fleet.directory.size());
  if (this->joined) {
    this->SleepUntilNextRound(
        this->IsSettling() ? kMinInterval
                           : std::max(kMinInterval, kIntervalPerHost * hosts));
    return;
  }
  const Duration max_delay =
      this->write_failed ? kMaxConflictDelay : kMinInterval;
  std::uniform_int_distribution<int64_t> delay(kMinJoinDelay.count(),
                                               max_delay.count());
  fibers::SleepFor(Duration(delay(this->random)));
}

// Wakes early when the store has been restored, and again when that is settled.
void ShareLoop::SleepUntilNextRound(Duration interval) {
  const bool settling = this->IsSettling();
  const Instant until = MonotonicNow() + interval;
  while (MonotonicNow() < until && this->fleet.store.era() == this->era &&
         settling == this->IsSettling()) {
    fibers::SleepFor(std::min<Duration>(kMinInterval, until - MonotonicNow()));
  }
}

absl::StatusOr<store::StoredShareTable> ShareLoop::ReadTable() {
  auto stored = store::ReadShareTable(this->fleet.store);
  if (stored.ok() && stored->era != this->era) {
    return absl::AbortedError("the store has been restored");
  }
  if (stored.ok() && !stored->IsAbsent()) {
    this->last_read = *stored;
    this->fleet.rates.SetTableHosts(this->HostsOfRegion(stored->table));
  }
  if (stored.ok()) {
    this->settlement.RecordRead();
  }
  return stored;
}

bool ShareLoop::WriteTable(const limits::ShareTable& table,
                           const store::StoredShareTable& base) {
  if (this->fleet.store.era() != base.era) {
    return false;
  }
  const auto put = store::WriteShareTable(this->fleet.store, table, base);
  if (!put.ok()) {
    this->lost_write_at = MonotonicNow();
  }
  return put.ok() && *put == store::PutResult::kWritten;
}

// Writes the table even if its content does not change. A delayed write of an
// earlier incarnation of this process then fails with a version conflict. If
// another host has written the table since this process first read it, that
// write has the same effect. Without this rule, N hosts that start together
// make on the order of N squared calls to the store.
void ShareLoop::Join() {
  this->write_failed = false;
  auto stored = this->ReadTable();
  if (!stored.ok()) {
    return;
  }
  if (stored->IsAbsent() && this->fleet.share_gathering_time > Duration{}) {
    this->table_was_absent = true;
    this->CreateTable(*stored);
    return;
  }
  if (stored->of_former_era && this->IsSettling()) {
    return;
  }
  const HostSettings& settings = this->fleet.settings;
  if (this->table_was_absent && stored->table.Find(settings.host) != nullptr) {
    this->joined = true;
    this->ApplyShare(stored->table.Fraction(settings.host));
    return;
  }
  this->had_entry = stored->table.Find(settings.host) != nullptr;
  const bool changed =
      stored->table.AddOrUpdateHost(settings.host, {.zone = settings.zone,
                                                    .region = settings.region,
                                                    .admin = settings.admin});
  const bool fenced = !stored->of_former_era &&
                      this->join_fence.RecordRead(
                          {.era = stored->era, .version = stored->version});
  const bool needs_write = changed || !fenced;
  if (needs_write && !this->WriteTable(stored->table, *stored)) {
    this->write_failed = true;
    return;
  }
  this->joined = true;
  this->join_fence.Reset();
  // With the entry of this host, which the table may not have had when read.
  this->fleet.rates.SetTableHosts(this->HostsOfRegion(stored->table));
  this->transfer_unconfirmed = false;
  if (this->had_entry) {
    // The former process may have held less.
    this->history.Record(0, this->start);
    this->BlockLoansOfFormerProcess(*stored);
  }
  this->has_joined_before = true;
  this->ApplyShare(stored->table.Fraction(settings.host));
}

// The former process lent its share only to hosts that it had read in the
// table. It had ended before this process read the table, and hosts are not
// taken out of the table while they may run, so all of them are in `stored`.
// That does not hold after a restore of the store (eras count from 1), nor for
// loans of this process itself.
void ShareLoop::BlockLoansOfFormerProcess(
    const store::StoredShareTable& stored) {
  limits::LoanBlock block;
  if (stored.era <= kEraWithoutRestore && !this->has_joined_before) {
    block.hosts = limits::DigestOfHosts(this->HostsOfRegion(stored.table));
    while (block.token == 0) {
      block.token = this->random();
    }
  }
  this->fleet.rates.BlockLoansUntil(
      this->start + LoanLifetime(stored.table.hosts().size()), block);
}

std::set<std::string> ShareLoop::HostsOfRegion(
    const limits::ShareTable& table) const {
  std::set<std::string> hosts;
  for (const auto& [host, entry] : table.hosts()) {
    if (entry.region == this->fleet.settings.region) {
      hosts.insert(host);
    }
  }
  return hosts;
}

// Without a table no host has a share, so the host that writes the first table
// may assign the shares of all hosts at once.
void ShareLoop::CreateTable(const store::StoredShareTable& absent) {
  if (MonotonicNow() - this->start < this->CreationDelay()) {
    return;
  }
  std::map<std::string, limits::ShareEntry> hosts;
  for (const auto& record : this->fleet.directory.HostsNotDead()) {
    hosts[record.host] = {
        .zone = record.zone, .region = record.region, .admin = record.admin};
  }
  const auto table = limits::ShareTable::EqualShares(hosts);
  if (this->WriteTable(table, absent)) {
    this->joined = true;
    this->fleet.rates.SetTableHosts(this->HostsOfRegion(table));
    this->ApplyShare(table.Fraction(this->fleet.settings.host));
    this->fleet.recorder.Record(
        {.kind = "shares_created",
         .detail = absl::StrCat(hosts.size(), " hosts")});
  }
}

Duration ShareLoop::NextReadDelay() const {
  return this->Creation().ReadDelay(this->HostsBefore(), this->read_position);
}

Duration ShareLoop::CreationDelay() const {
  return this->Creation().CreationDelay(this->HostsBefore());
}

limits::TableCreation ShareLoop::Creation() const {
  return {.gathering_time = this->fleet.share_gathering_time};
}

int64_t ShareLoop::HostsBefore() const {
  const auto present = this->fleet.directory.HostsNotDead();
  return std::count_if(present.begin(), present.end(),
                       [this](const auto& record) {
                         return record.host < this->fleet.settings.host;
                       });
}

void ShareLoop::FollowTable() {
  const auto stored = this->ReadTable();
  if (!stored.ok()) {
    this->FallBackIfUnread();
    return;
  }
  if (stored->IsAbsent()) {
    this->RecreateTable(*stored);
    return;
  }
  const HostSettings& settings = this->fleet.settings;
  if (this->IsSettling() || stored->of_former_era) {
    this->ApplyShare(std::min(this->fleet.rates.Share(),
                              stored->table.Fraction(settings.host)));
    if (!this->IsSettling()) {
      this->WriteTable(stored->table, *stored);
    }
    return;
  }
  if (stored->table.Find(settings.host) == nullptr) {
    this->ApplyShare(0);
    this->joined = false;
    return;
  }
  if (this->transfer_unconfirmed) {
    if (!this->WriteTable(stored->table, *stored)) {
      return;
    }
    this->transfer_unconfirmed = false;
  }
  this->ApplyShare(stored->table.Fraction(settings.host));
  const auto move = stored->table.NextMove(settings.host);
  if (move.has_value()) {
    this->TransferParts(*stored, *move);
  }
}

// A host that can't read the restored table doesn't know its entry there.
void ShareLoop::FallBackIfUnread() {
  if (this->settlement.IsReadOverdue(MonotonicNow())) {
    this->FallBack("the restored share table could not be read in time");
  }
}

// Hosts that have joined write the table back before hosts that start create a
// new one, after the gathering time. The copy is older than the table, and so
// is the table that was read last no older than the history of shares.
void ShareLoop::RecreateTable(const store::StoredShareTable& absent) {
  if (!this->last_read.has_value()) {
    return;
  }
  if (this->WriteTable(this->last_read->table, absent)) {
    this->fleet.recorder.Record(
        {.kind = "shares_restored",
         .detail =
             absl::StrCat(this->last_read->table.hosts().size(), " hosts")});
  }
}

// Lowers the share and waits until the loans of the higher share have expired
// before it writes the table from which the receiver reads its new share.
void ShareLoop::TransferParts(const store::StoredShareTable& stored,
                              const limits::ShareMove& move) {
  limits::ShareTable table = stored.table;
  if (!table.Apply(move)) {
    return;
  }
  const double lowered_share = table.Fraction(move.from);
  this->ApplyShare(lowered_share);
  while (this->fleet.rates.LatestExpiryAbove(lowered_share) > MonotonicNow()) {
    fibers::SleepFor(kLoanExpiryPollInterval);
  }
  this->transfer_unconfirmed = true;
  if (!this->WriteTable(table, stored)) {
    return;
  }
  this->transfer_unconfirmed = false;
  this->fleet.recorder.Record(
      {.kind = "share_moved",
       .detail = absl::StrCat(move.parts, " parts to ", move.to)});
}

}  // namespace kingcupstair::control
